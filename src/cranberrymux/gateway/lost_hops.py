"""Counts deaths that the node beside the backend server could not see."""

from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

from cranberrymux.decisions.quarantine import fingerprint as fingerprints
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
        record: The endpoint as it was known when the request was sent.
        lost_s: Monotonic seconds at which the connection broke.
    """

    digest: str
    record: endpoint_record.EndpointRecord
    lost_s: float


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
        self._lost: list[_LostHop] = []

    def add(self, digest: str, record: endpoint_record.EndpointRecord) -> None:
        """Records a request that the endpoint's node may have handed over.

        Args:
            digest: Digest of its content; empty if it has none.
            record: The endpoint that it was sent to.
        """
        self._forget_old()
        if digest and record.backend_id:
            self._lost.append(_LostHop(digest, record, self._clock.now_s()))

    def endpoints_changed(
        self, records: Iterable[endpoint_record.EndpointRecord]
    ) -> None:
        """Looks for another process in the place of a lost request's."""
        self._forget_old()
        if not self._lost:
            return
        for record in records:
            self._explain(record)

    def _explain(self, record: endpoint_record.EndpointRecord) -> None:
        kept = []
        for lost in self._lost:
            if lost.record.endpoint_id != record.endpoint_id:
                kept.append(lost)
            elif not record.backend_id or record.process.may_be(
                lost.record.process
            ):
                # An end that was announced is no death.
                if record.state is not endpoint_state.EndpointState.DRAINING:
                    kept.append(lost)
            elif record.incarnation != lost.record.incarnation:
                self._recorder.record_unseen_death(
                    fingerprints.Fingerprint("", "", lost.digest),
                    _make_event_id(lost.record),
                )
        self._lost = kept

    def _forget_old(self) -> None:
        from_s = self._clock.now_s() - UNEXPLAINED_S
        self._lost = [lost for lost in self._lost if lost.lost_s >= from_s]


def _make_event_id(record: endpoint_record.EndpointRecord) -> str:
    process = record.process
    return (
        f"{record.endpoint_id}#{record.incarnation}"
        f"#{process.backend_id}@{process.started_ms}"
    )
