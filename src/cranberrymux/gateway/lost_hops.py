"""Counts deaths that the node beside the backend server could not see."""

from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.models import backend_process
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.node import clock as clock_module

# Time in which another process of the backend server explains a lost run.
UNEXPLAINED_S = 10.0


class DeathRecorder(Protocol):
    """Counts deaths under requests."""

    def record_unseen_death(
        self, fingerprint: fingerprints.Fingerprint, event_id: str
    ) -> None:
        """Records a death that no node beside the backend server saw."""


class _LostHop(NamedTuple):
    """A request whose connection to the endpoint's node broke.

    Attributes:
        digest: Digest of its content.
        incarnation: Start of the node, as it was known when it was sent.
        process: The process of the backend server, as it was known then.
    """

    digest: str
    incarnation: int
    process: backend_process.BackendProcess


class LostHops:
    """Requests that were lost together with the node beside the endpoint.

    A node that restarts does not know what its backend server runs. If that
    turns out to be replaced by another process as well, without having said
    that it leaves, it may have died under one of these requests.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        recorder: DeathRecorder,
    ) -> None:
        """Starts without losses.

        Args:
            clock: The node's clock.
            recorder: Counts the deaths. The id of a death is the same at every
                node that has lost a request there.
        """
        self._clock = clock
        self._recorder = recorder
        # By endpoint id. Each once, the oldest first, with the monotonic
        # seconds at which the connection broke.
        self._lost: dict[str, dict[_LostHop, float]] = {}

    def add(
        self,
        digest: str,
        record: endpoint_record.EndpointRecord,
        is_draining: bool = False,
    ) -> None:
        """Records a request that the endpoint's node may have handed over.

        Args:
            digest: Digest of its content; empty if it has none.
            record: The endpoint that it was sent to.
            is_draining: True if the endpoint is known to drain by now. An end
                that was announced is no death.
        """
        if not digest or not record.backend_id or is_draining:
            return
        now_s = self._clock.now_s()
        lost = self._lost.setdefault(record.endpoint_id, {})
        hop = _LostHop(digest, record.incarnation, record.process)
        lost.pop(hop, None)
        lost[hop] = now_s
        _forget_old(lost, now_s)

    def endpoints_changed(
        self, records: Iterable[endpoint_record.EndpointRecord]
    ) -> None:
        """Looks for another process in the place of a lost request's."""
        self._forget_all_old()
        if not self._lost:
            return
        for record in records:
            if record.endpoint_id in self._lost:
                self._explain(record)

    def _explain(self, record: endpoint_record.EndpointRecord) -> None:
        lost = self._lost[record.endpoint_id]
        is_draining = record.state is endpoint_state.EndpointState.DRAINING
        for hop in list(lost):
            is_restarted = record.incarnation != hop.incarnation
            if not record.backend_id or record.process.may_be(hop.process):
                # An end that was announced is no death. Without a restart it
                # may be the node that announces its own.
                if is_draining and is_restarted:
                    del lost[hop]
                continue
            del lost[hop]
            # Otherwise the node has seen the death itself.
            if is_restarted:
                self._recorder.record_unseen_death(
                    fingerprints.from_digest(hop.digest),
                    _make_event_id(record.endpoint_id, hop),
                )

    def _forget_all_old(self) -> None:
        now_s = self._clock.now_s()
        for endpoint_id, lost in list(self._lost.items()):
            _forget_old(lost, now_s)
            if not lost:
                del self._lost[endpoint_id]


def _forget_old(lost: dict[_LostHop, float], now_s: float) -> None:
    from_s = now_s - UNEXPLAINED_S
    while lost:
        oldest = next(iter(lost))
        if lost[oldest] >= from_s:
            return
        del lost[oldest]


def _make_event_id(endpoint_id: str, hop: _LostHop) -> str:
    process = hop.process
    return (
        f"{endpoint_id}#{hop.incarnation}"
        f"#{process.backend_id}@{process.started_ms}"
    )
