"""Detects deaths of the backend server and shares them with other nodes."""

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
_MAXIMUM_SHARED_KEYS = 64

_log = structlog.get_logger()


class ReportClient(Protocol):
    """A connection to a control instance that counts deaths."""

    async def report_suspect(self, report: Any) -> Any:
        """Sends a `SuspectReport`; returns `SuspectAnswer | WireError`."""


class _Probe(protocol.ClientFactory):
    """Tries one connection, closes it and reports whether it was accepted."""

    noisy = False

    def __init__(self, on_alive: Callable[[], None]) -> None:
        self._on_alive = on_alive
        self.on_dead: Callable[[], None] = lambda: None

    def buildProtocol(self, addr: Any) -> protocol.Protocol:  # noqa: N802
        del addr
        self._on_alive()
        return _ClosingProtocol()

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        del connector, reason
        self.on_dead()


class _ClosingProtocol(protocol.Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.loseConnection()


class QuarantineTask:
    """Owns the quarantine, to which calls report their start and end.

    When a connection to the backend server breaks under a call, the task
    tries to connect again. A backend server that accepts no connection has
    died, and every call that was in flight on it is a suspect. The siblings,
    which are the other endpoints of the service, and the control instances get
    a report.
    """

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        system_clock: clock_module.Clock,
        reactor: Any,
        clients: list[Any],
        send_to_siblings: Callable[[peer_request.PeerMessage], None],
        on_dead: Callable[[], None],
        cluster_key: bytes,
    ) -> None:
        """Starts without deaths.

        Args:
            quarantine: Death records of this endpoint; nothing else may change
                them.
            system_clock: The node's clocks.
            reactor: Opens the connections that probe the backend server.
            clients: Connections to the control instances.
            send_to_siblings: Sends a message to every sibling.
            on_dead: Called when the backend server accepts no connection.
            cluster_key: Cluster key, which proves that the sender is a node.
        """
        self._quarantine = quarantine
        self._clock = system_clock
        self._reactor = reactor
        self._clients: list[ReportClient] = clients
        self._send_to_siblings = send_to_siblings
        self._on_dead = on_dead
        self._cluster_key = cluster_key
        self._deaths_by_key: collections.OrderedDict[
            str, dict[str, suspect_message.DeathNotice]
        ] = collections.OrderedDict()
        self._lost_ticket_ids: list[str] = []
        self._is_probing = False

    @property
    def record_count(self) -> int:
        """Number of fingerprint keys with a death record."""
        return self._quarantine.record_count

    def classify(
        self, fingerprint: fingerprints.Fingerprint
    ) -> isolation.Isolation | refusal.Refusal:
        """Returns the isolation of a call; a refusal after too many deaths."""
        if not self._quarantine.record_count:
            return isolation.Isolation.CLEAR
        return self._quarantine.classify(self._clock.now_s(), fingerprint)

    def start(
        self,
        ticket_id: str,
        fingerprint: fingerprints.Fingerprint,
        is_suspect: bool,
    ) -> None:
        """Records that a call is handed over to the backend server.

        Args:
            ticket_id: Id of the call at admission.
            fingerprint: Fingerprint of the call.
            is_suspect: True if its isolation is not `CLEAR`.
        """
        self._quarantine.start(ticket_id, fingerprint, is_suspect=is_suspect)

    def finish(self, ticket_id: str, is_clean: bool) -> None:
        """Records the end of a call whose backend server is still alive.

        Args:
            ticket_id: Id of the call at admission; ignored if not in flight.
            is_clean: True if the backend server ran the call to its end, which
                may clear its deaths.
        """
        cleared = self._quarantine.finish(
            self._clock.now_s(), ticket_id, is_clean
        )
        for report in cleared:
            self._send_to_siblings(
                suspect_message.encode_clear_report(report, self._cluster_key)
            )

    def connection_lost(
        self, ticket_id: str, address: connection_pool.Address
    ) -> None:
        """Probes the backend server after a connection broke under a call.

        Args:
            ticket_id: Id of the call at admission.
            address: Address of the backend server.
        """
        self._lost_ticket_ids.append(ticket_id)
        if self._is_probing:
            return
        self._is_probing = True
        probe = _Probe(self._probe_accepted)
        probe.on_dead = self._probe_failed
        self._reactor.connectTCP(
            address.host, address.port, probe, timeout=_PROBE_TIMEOUT_S
        )

    def not_connected(self) -> None:
        """Reports that the backend server accepted no connection for a call."""
        self._on_dead()

    def merge_report(
        self, report: suspect_message.DeathNotice | clear_report.ClearReport
    ) -> None:
        """Merges a sibling's report of a death or of a suspect's clean run."""
        now_s = self._clock.now_s()
        if isinstance(report, clear_report.ClearReport):
            self._quarantine.merge_report(now_s, report.key, 0, report.deaths)
            return
        deaths = self._add_death(report)
        self._quarantine.merge_report(
            now_s, report.key, deaths, was_sole=report.was_sole
        )

    def encode_latest_deaths(self) -> list[peer_request.PeerMessage]:
        """Returns the latest deaths as messages to a newly started sibling."""
        latest = list(self._deaths_by_key.values())[-_MAXIMUM_SHARED_KEYS:]
        return [
            suspect_message.encode_death_notice(death, self._cluster_key)
            for deaths in latest
            for death in deaths.values()
        ]

    def _add_death(self, death: suspect_message.DeathNotice) -> int:
        """Adds a death; returns the number of distinct deaths of its key."""
        known = self._deaths_by_key.setdefault(death.key, {})
        known[death.death_id] = death
        self._deaths_by_key.move_to_end(death.key)
        if len(self._deaths_by_key) > _MAXIMUM_KEYS:
            self._deaths_by_key.popitem(last=False)
        return len(known)

    def _probe_accepted(self) -> None:
        self._is_probing = False
        for ticket_id in self._lost_ticket_ids:
            self.finish(ticket_id, False)
        self._lost_ticket_ids.clear()

    def _probe_failed(self) -> None:
        self._is_probing = False
        self._lost_ticket_ids.clear()
        self._on_dead()
        reports = self._quarantine.endpoint_died(self._clock.now_s())
        if not reports:
            return
        _log.warning(event.Event.BACKEND_SERVER_DIED, suspects=len(reports))
        for report in reports:
            death = suspect_message.make_death_notice(report)
            self._add_death(death)
            self._send_to_siblings(
                suspect_message.encode_death_notice(death, self._cluster_key)
            )
            defer.ensureDeferred(self._report_to_control(report))

    async def _report_to_control(
        self, report: death_report.DeathReport
    ) -> None:
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
