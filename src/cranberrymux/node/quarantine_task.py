"""Detects deaths of the backend server and shares them with other nodes."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import structlog

from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine as quarantine_module
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.models import refusal
from cranberrymux.node import clock as clock_module
from cranberrymux.node import death_probe
from cranberrymux.node import peer_request
from cranberrymux.node import suspect_message
from cranberrymux.node import suspect_reporter
from cranberrymux.node import suspect_rows
from cranberrymux.node.http import connection_pool
from cranberrymux.telemetry import event

# A report of a sibling is passed on to the control instances if they have not
# told of it after this time: the sibling may not reach them.
RELAY_DELAY_S = 1.0
# Time after which the reports on a call that still comes are sent again.
RENEWAL_INTERVAL_S = 300.0
# Time in which another process at the place of the backend server explains why
# connections to it broke.
UNEXPLAINED_S = 3.0
_MAXIMUM_SHARED_KEYS = 64
_Kind = report_kind.ReportKind
_Report = suspect_report.SuspectReport

_log = structlog.get_logger()


class NodeIdentity(NamedTuple):
    """Names a node in its reports.

    Attributes:
        node_id: Name of the node.
        incarnation: Start time of its process in Unix milliseconds.
        cluster_key: Proves to other nodes that it is one.
    """

    node_id: str
    incarnation: int
    cluster_key: bytes


class _LostCall(NamedTuple):
    """A call whose connection to the backend server broke.

    Attributes:
        ticket_id: Id of the call at admission.
        lost_s: Monotonic seconds at which it broke.
        on_explained: Called with True if the backend server has died.
    """

    ticket_id: str
    lost_s: float
    on_explained: Callable[[bool], None]


def _ignore(is_dead: bool) -> None:
    del is_dead


class QuarantineTask:
    """Owns the quarantine, to which calls report their start and end.

    When a connection to the backend server breaks under a call, the task
    tries to connect again. A backend server that refuses the connection, or in
    whose place another process announces itself, has died, and every call that
    was in flight on it is a suspect. The siblings, which are the other
    endpoints of the service, and the control instances get a report.

    Attributes:
        on_dead: Called when the backend server accepts no connection.
        is_end_planned: Returns True if the backend server is leaving, so that
            its end is no death.
    """

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        system_clock: clock_module.Clock,
        reactor: Any,
        reporter: suspect_reporter.SuspectReporter,
        send_to_siblings: Callable[[peer_request.PeerMessage], None],
        cluster_key: bytes,
    ) -> None:
        """Starts without deaths.

        Args:
            quarantine: Records of suspects; nothing else may change them.
            system_clock: The node's clocks.
            reactor: Opens the connections that probe the backend server.
            reporter: Sends reports to the control instances.
            send_to_siblings: Sends a message to every sibling.
            cluster_key: Cluster key, which proves that the sender is a node.
        """
        self._quarantine = quarantine
        self._clock = system_clock
        self._reporter = reporter
        self._send_to_siblings = send_to_siblings
        self.on_dead: Callable[[], None] = lambda: None
        self.is_end_planned: Callable[[], bool] = lambda: False
        self._cluster_key = cluster_key
        self._probe = death_probe.DeathProbe(reactor, self._handle_probe)
        self._lost: list[_LostCall] = []
        self._claimed_keys: set[str] = set()

    @property
    def record_count(self) -> int:
        """Number of fingerprint keys with a record."""
        return self._quarantine.record_count

    def classify(
        self, fingerprint: fingerprints.Fingerprint
    ) -> isolation.Isolation | refusal.Refusal:
        """Returns the isolation of a call; a refusal after too many deaths."""
        if not self._quarantine.record_count:
            return isolation.Isolation.CLEAR
        now_s = self._clock.now_s()
        verdict = self._quarantine.classify(now_s, fingerprint)
        if isinstance(verdict, refusal.Refusal):
            self._reporter.add(
                self._quarantine.take_unshared(
                    now_s, fingerprint, RENEWAL_INTERVAL_S
                )
            )
        return verdict

    def get_trial_wait_s(self, fingerprint: fingerprints.Fingerprint) -> float:
        """Returns the seconds until a refused call may run once more."""
        return self._quarantine.get_trial_wait_s(
            self._clock.now_s(), fingerprint
        )

    async def claim_trial(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Returns whether a refused call may run once more, here and now.

        The control instances grant each trial to one node.
        """
        key = fingerprint.digest_key
        if self.get_trial_wait_s(fingerprint) or key in self._claimed_keys:
            return False
        self._claimed_keys.add(key)
        trial = self._quarantine.make_trial(self._clock.now_s(), fingerprint)
        is_granted = await self._reporter.claim_trial(trial)
        self._claimed_keys.discard(key)
        _log.info(
            event.Event.SUSPECT_TRIAL,
            key=key,
            trial=trial.event_id,
            is_granted=is_granted,
        )
        if is_granted:
            self._quarantine.merge(self._clock.now_s(), [trial])
            self._tell_siblings([trial])
        return is_granted

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

    def finish(
        self, ticket_id: str, is_clean: bool, *, may_still_run: bool = False
    ) -> None:
        """Records the end of a call whose backend server is still alive.

        Args:
            ticket_id: Id of the call at admission; ignored if not in flight.
            is_clean: True if the backend server ran the call to its end, which
                may clear its deaths.
            may_still_run: True if the backend server may still be at work on
                it.
        """
        cleared = self._quarantine.finish(
            self._clock.now_s(),
            ticket_id,
            is_clean,
            may_still_run=may_still_run,
        )
        if cleared:
            self._share(cleared, "run-ended")

    def connection_lost(
        self,
        ticket_id: str,
        address: connection_pool.Address,
        on_explained: Callable[[bool], None] = _ignore,
    ) -> None:
        """Probes the backend server after a connection broke under a call.

        Args:
            ticket_id: Id of the call at admission.
            address: Address of the backend server.
            on_explained: Called once: with True if the backend server has
                died, with False if it accepts connections.
        """
        self._lost.append(
            _LostCall(ticket_id, self._clock.now_s(), on_explained)
        )
        self._probe.start(address)

    def not_connected(self) -> None:
        """Reports that the backend server accepted no connection for a call."""
        self.on_dead()

    def process_replaced(self) -> None:
        """Notes that another process has taken the backend server's place.

        To be called unless its end was planned. A backend server that is back
        soon has not refused the probe.
        """
        self._forget_unexplained()
        if self._lost or self._quarantine.has_abandoned(self._clock.now_s()):
            self._die("replaced", is_past=True)

    def process_confirmed(self) -> None:
        """Notes that the backend server runs on, or that its end was planned.

        What broke its connections was no death.
        """
        self._end_lost(is_dead=False)

    def merge_from_sibling(self, reports: Sequence[_Report]) -> None:
        """Merges reports of a sibling and has the control instances get them.

        The sibling may not reach those.
        """
        new = self._merge(reports, "sibling")
        self._reporter.add(new, RELAY_DELAY_S)

    def merge_from_caller(self, reports: Sequence[_Report]) -> None:
        """Merges reports that came with a call or with its answer."""
        self._merge(reports, "call")

    def merge_rows(self, rows: Iterable[Any]) -> None:
        """Merges rows of the ledger that the control instances keep."""
        reports = list(suspect_rows.decode_rows(rows))
        self._reporter.confirm(reports)
        self._merge(reports, "control")

    def get_open_reports(
        self, fingerprint: fingerprints.Fingerprint
    ) -> list[_Report]:
        """Returns all that is known of a call that is a suspect."""
        now_s = self._clock.now_s()
        if not self._quarantine.is_suspect(now_s, fingerprint):
            return []
        return self._quarantine.get_reports(now_s, fingerprint.digest_key)

    def encode_latest(self) -> list[peer_request.PeerMessage]:
        """Returns the latest suspects as messages to a started sibling."""
        latest = self._quarantine.get_latest_reports(
            self._clock.now_s(), _MAXIMUM_SHARED_KEYS
        )
        return list(suspect_message.encode(latest, self._cluster_key))

    def stop(self) -> None:
        """Sends no more reports."""
        self._reporter.stop()

    def _merge(self, reports: Sequence[_Report], source: str) -> list[_Report]:
        new = self._quarantine.merge(self._clock.now_s(), reports)
        if new:
            _log.info(
                event.Event.SUSPECTS_LEARNED,
                source=source,
                **_describe(new),
            )
        return new

    def _share(self, reports: Sequence[_Report], cause: str) -> None:
        _log.info(
            event.Event.SUSPECTS_SHARED, cause=cause, **_describe(reports)
        )
        self._tell_siblings(reports)
        self._reporter.add(reports)

    def _tell_siblings(self, reports: Sequence[_Report]) -> None:
        for message in suspect_message.encode(reports, self._cluster_key):
            self._send_to_siblings(message)

    def _handle_probe(self, result: death_probe.ProbeResult) -> None:
        if result is not death_probe.ProbeResult.ACCEPTED:
            self.on_dead()
        if result is not death_probe.ProbeResult.REFUSED:
            self._keep_unexplained()
        elif self.is_end_planned():
            self._end_lost(is_dead=False)
        else:
            self._die("refused-connection")

    def _keep_unexplained(self) -> None:
        """Answers the callers; a new process may still explain the loss."""
        self._forget_unexplained()
        for one in self._lost:
            one.on_explained(False)
        self._lost = [one._replace(on_explained=_ignore) for one in self._lost]

    def _forget_unexplained(self) -> None:
        from_s = self._clock.now_s() - UNEXPLAINED_S
        for one in self._lost:
            if one.lost_s < from_s:
                self.finish(one.ticket_id, False)
        self._lost = [one for one in self._lost if one.lost_s >= from_s]

    def _end_lost(self, *, is_dead: bool) -> None:
        lost = self._lost
        self._lost = []
        for one in lost:
            if not is_dead:
                self.finish(one.ticket_id, False)
            one.on_explained(is_dead)

    def _die(self, evidence: str, *, is_past: bool = False) -> None:
        reports = self._quarantine.endpoint_died(
            self._clock.now_s(), is_past=is_past
        )
        if reports:
            _log.warning(
                event.Event.BACKEND_SERVER_DIED,
                evidence=evidence,
                suspects=len({one.key for one in reports}),
            )
            self._share(reports, "death")
        self._end_lost(is_dead=True)


def make(
    identity: NodeIdentity,
    system_clock: clock_module.Clock,
    reactor: Any,
    get_clients: Callable[[], Sequence[suspect_reporter.ReportClient]],
    send_to_siblings: Callable[[peer_request.PeerMessage], None],
) -> QuarantineTask:
    """Returns the quarantine of a node without records.

    Args:
        identity: Names the node in its reports.
        system_clock: The node's clocks.
        reactor: Opens connections and schedules reports.
        get_clients: Returns the connections to the control instances.
        send_to_siblings: Sends a message to every sibling.
    """
    reporter = suspect_reporter.SuspectReporter(
        get_clients,
        f"{identity.node_id}#{identity.incarnation}",
        reactor,
        system_clock,
    )
    return QuarantineTask(
        quarantine_module.Quarantine(
            quarantine_settings.QuarantineSettings(),
            identity.node_id,
            identity.incarnation,
        ),
        system_clock,
        reactor,
        reporter,
        send_to_siblings,
        identity.cluster_key,
    )


def _describe(reports: Sequence[_Report]) -> dict[str, Any]:
    """Returns the log fields of reports; keys hold digests only."""
    sole = [one.key for one in reports if one.kind is _Kind.SOLE_DEATH]
    return {
        "events": sorted({one.event_id for one in reports})[:4],
        "kinds": sorted({one.kind.value for one in reports}),
        "keys": list(dict.fromkeys(one.key for one in reports))[:4],
        "sole": sole[:4],
        "count": len(reports),
    }
