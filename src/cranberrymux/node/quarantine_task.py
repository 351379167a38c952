"""Finds out whether the backend server died, and of which calls."""

import collections
from collections.abc import Callable
from typing import Any
from typing import Protocol

import structlog
from twisted.internet import defer
from twisted.internet import protocol

from cranberrymux.decisions.quarantine import clear_report
from cranberrymux.decisions.quarantine import death_report
from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine as quarantine_module
from cranberrymux.models import refusal
from cranberrymux.node import clock as clock_module
from cranberrymux.node import peer_request
from cranberrymux.node import suspect_message
from cranberrymux.node.http import connection_pool
from cranberrymux.telemetry import event
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes

_PROBE_TIMEOUT_S = 1.0
_MAXIMUM_KEYS = 8192
_MAXIMUM_TOLD_KEYS = 64

_log = structlog.get_logger()


class ReportClient(Protocol):
    """A connection to a control instance."""

    async def report_suspect(self, report: Any) -> Any:
        """Sends a `SuspectReport`; answers `SuspectAnswer | WireError`."""


class _Probe(protocol.ClientFactory):
    noisy = False

    def __init__(self, on_alive: Callable[[], None]) -> None:
        self._on_alive = on_alive
        self.on_dead: Callable[[], None] = lambda: None

    def buildProtocol(self, addr: Any) -> protocol.Protocol:  # noqa: N802
        del addr
        self._on_alive()
        return _Closing()

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        del connector, reason
        self.on_dead()


class _Closing(protocol.Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.loseConnection()


class QuarantineTask:
    """Owns the quarantine; calls tell it of their start and end.

    When a connection to the backend server breaks under a call, the task
    tries to connect again. A backend server that takes no connection has
    died, and every call that was in flight on it is a suspect.
    """

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        system_clock: clock_module.Clock,
        reactor: Any,
        clients: list[Any],
        tell: Callable[[peer_request.PeerMessage], None],
        on_dead: Callable[[], None],
        proof: bytes,
    ) -> None:
        """Keeps the quarantine, which nobody else may drive.

        Args:
            quarantine: The records of this endpoint.
            system_clock: The node's clocks.
            reactor: For connections.
            clients: Connections to the control instances.
            tell: Sends a message to every sibling.
            on_dead: Called when the backend server takes no connection.
            proof: Proof that the sender is a node.
        """
        self._quarantine = quarantine
        self._clock = system_clock
        self._reactor = reactor
        self._clients: list[ReportClient] = clients
        self._tell = tell
        self._on_dead = on_dead
        self._proof = proof
        self._deaths: collections.OrderedDict[
            str, dict[str, suspect_message.Death]
        ] = collections.OrderedDict()
        self._lost: list[str] = []
        self._is_probing = False

    @property
    def record_count(self) -> int:
        """Number of fingerprints with deaths."""
        return self._quarantine.record_count

    def judge(
        self, fingerprint: fingerprints.Fingerprint
    ) -> isolation.Isolation | refusal.Refusal:
        """Decides how a call may run."""
        if not self._quarantine.record_count:
            return isolation.Isolation.CLEAR
        return self._quarantine.classify(self._clock.now_s(), fingerprint)

    def start(
        self,
        ticket_id: str,
        fingerprint: fingerprints.Fingerprint,
        is_suspect: bool,
    ) -> None:
        """Takes note that a call is handed to the backend server."""
        self._quarantine.start(ticket_id, fingerprint, is_suspect=is_suspect)

    def finish(self, ticket_id: str, is_clean: bool) -> None:
        """Takes note that a call has ended while its backend server lives."""
        cleared = self._quarantine.finish(
            self._clock.now_s(), ticket_id, is_clean
        )
        for report in cleared:
            self._tell(suspect_message.encode_clear(report, self._proof))

    def connection_lost(
        self, ticket_id: str, address: connection_pool.Address
    ) -> None:
        """Takes note that a connection broke under a call."""
        self._lost.append(ticket_id)
        if self._is_probing:
            return
        self._is_probing = True
        probe = _Probe(self._found_alive)
        probe.on_dead = self._found_dead
        self._reactor.connectTCP(
            address.host, address.port, probe, timeout=_PROBE_TIMEOUT_S
        )

    def not_connected(self) -> None:
        """Takes note that the backend server took no connection."""
        self._on_dead()

    def hear(
        self, news: suspect_message.Death | clear_report.ClearReport
    ) -> None:
        """Takes news of a sibling."""
        now_s = self._clock.now_s()
        if isinstance(news, clear_report.ClearReport):
            self._quarantine.merge_report(now_s, news.key, 0, news.deaths)
            return
        deaths = self._count(news)
        self._quarantine.merge_report(
            now_s, news.key, deaths, was_sole=news.was_sole
        )

    def describe(self) -> list[peer_request.PeerMessage]:
        """Returns what a sibling that has just started must hear."""
        latest = list(self._deaths.values())[-_MAXIMUM_TOLD_KEYS:]
        return [
            suspect_message.encode_death(death, self._proof)
            for deaths in latest
            for death in deaths.values()
        ]

    def _count(self, death: suspect_message.Death) -> int:
        """Returns the distinct deaths known for a key."""
        known = self._deaths.setdefault(death.key, {})
        known[death.death_id] = death
        self._deaths.move_to_end(death.key)
        if len(self._deaths) > _MAXIMUM_KEYS:
            self._deaths.popitem(last=False)
        return len(known)

    def _found_alive(self) -> None:
        self._is_probing = False
        for ticket_id in self._lost:
            self.finish(ticket_id, False)
        self._lost.clear()

    def _found_dead(self) -> None:
        self._is_probing = False
        self._lost.clear()
        self._on_dead()
        reports = self._quarantine.endpoint_died(self._clock.now_s())
        if not reports:
            return
        _log.warning(event.Event.BACKEND_SERVER_DIED, suspects=len(reports))
        for report in reports:
            death = suspect_message.make_death(report)
            self._count(death)
            self._tell(suspect_message.encode_death(death, self._proof))
            defer.ensureDeferred(self._report(report))

    async def _report(self, report: death_report.DeathReport) -> None:
        message = ttypes.SuspectReport(
            fingerprint=report.key,
            endpoint_id=f"{report.endpoint_id}#{report.death}",
            incarnation=report.incarnation,
        )
        for client in self._clients:
            answer = await client.report_suspect(message)
            if not isinstance(answer, wire_error.WireError):
                self._quarantine.merge_report(
                    self._clock.now_s(), report.key, answer.deaths
                )
                return
