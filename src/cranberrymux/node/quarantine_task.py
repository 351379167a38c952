"""Detects deaths of the backend server and shares them with other nodes."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import structlog

from cranberrymux.decisions.quarantine import death_reports
from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine as quarantine_module
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.models import refusal
from cranberrymux.node import clock as clock_module
from cranberrymux.node import peer_request
from cranberrymux.node import run_losses
from cranberrymux.node import running_trials
from cranberrymux.node import suspect_log
from cranberrymux.node import suspect_reporter
from cranberrymux.node import suspect_rows
from cranberrymux.node import suspect_sender
from cranberrymux.telemetry import event

# A report of a sibling is passed on to the control instances if they have not
# told of it after this time: the sibling may not reach them.
RELAY_DELAY_S = 1.0
# Time after which the reports on a call that still comes are sent again.
RENEWAL_INTERVAL_S = 300.0
_MAXIMUM_SHARED_KEYS = 64
_Report = suspect_report.SuspectReport

_log = structlog.get_logger()


class QuarantineTask:
    """Owns the quarantine, to which calls report their start and end.

    When the backend server has died, every call that was in flight on it is a
    suspect. The siblings, which are the other endpoints of the service, and the
    control instances get a report.

    Attributes:
        records: The records of suspects by key, not to be changed by others.
        running: The calls in flight on the backend server.
        losses: Runs whose connection broke, until it is known why.
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
            reactor: Opens the connections that probe the backend server, and
                calls back later.
            reporter: Sends reports to the control instances.
            send_to_siblings: Sends a message to the neighbors among the
                siblings, who pass it on.
            cluster_key: Cluster key, which proves that the sender is a node.
        """
        self._quarantine = quarantine
        self.records = quarantine.records
        self.running = quarantine.running
        self._clock = system_clock
        self._reporter = reporter
        self._sender = suspect_sender.SuspectSender(
            reporter, send_to_siblings, cluster_key
        )
        self.losses = run_losses.RunLosses(
            system_clock, reactor, self._record_death, self._record_survival
        )
        self.losses.may_have_ended_abandoned = self._has_abandoned
        self._claimed_keys: set[str] = set()
        self._trials = running_trials.RunningTrials(
            system_clock, quarantine.linger_s, self.end_trial
        )

    @property
    def record_count(self) -> int:
        """Number of fingerprint keys with a record."""
        return self._quarantine.record_count

    def classify(
        self, fingerprint: fingerprints.Fingerprint
    ) -> isolation.Isolation | refusal.Refusal:
        """Returns the isolation of a call; a refusal after too many deaths."""
        if not self.records:
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

    async def claim_trial(
        self, fingerprint: fingerprints.Fingerprint
    ) -> _Report | None:
        """Returns the trial of a refused call that may run here and now.

        The control instances grant each trial to one node.

        Returns:
            The trial, to be passed to `start_trial` or `end_trial`; None if
            the call stays refused.
        """
        key = fingerprint.digest_key
        if self.get_trial_wait_s(fingerprint) or key in self._claimed_keys:
            return None
        self._claimed_keys.add(key)
        trial = self._quarantine.make_trial(self._clock.now_s(), fingerprint)
        is_granted = await self._reporter.claim_trial(trial)
        self._claimed_keys.discard(key)
        _log.info(
            event.Event.SUSPECT_TRIAL,
            suspect=key,
            trial=trial.event_id,
            is_granted=is_granted,
        )
        if not is_granted:
            return None
        self._quarantine.merge(self._clock.now_s(), [trial])
        self._sender.notify_siblings([trial])
        return trial

    def start_trial(self, ticket_id: str, trial: _Report) -> None:
        """Records that a call which is handed over now is a trial."""
        self._trials.start(ticket_id, trial)

    def end_trial(self, trial: _Report) -> None:
        """Records that a trial ended, neither whole nor with a death."""
        ended = self._quarantine.end_trial(self._clock.now_s(), trial)
        self._sender.share(ended, "trial-ended")

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
        if is_clean:
            if not self.records and not self._trials:
                self.running.end(ticket_id)
                return
            self._trials.succeed(ticket_id)
        elif may_still_run:
            self._trials.cancel(ticket_id)
        else:
            self._trials.end(ticket_id)
        cleared = self._quarantine.finish(
            self._clock.now_s(),
            ticket_id,
            is_clean,
            may_still_run=may_still_run,
        )
        if cleared:
            self._sender.share(cleared, "run-ended")

    def process_confirmed(self) -> None:
        """Notes that the backend server runs on, or that its end was planned.

        What broke its connections was no death.
        """
        self.losses.process_confirmed()
        self._trials.process_confirmed()

    def merge_from_sibling(self, reports: Sequence[_Report]) -> None:
        """Merges reports of a sibling and passes on those that are new.

        They go to the neighbors, and to the control instances, as the sibling
        may not reach those.
        """
        new = self._merge(reports, "sibling")
        self._sender.notify_siblings(new)
        self._reporter.add(new, RELAY_DELAY_S)

    def merge_from_caller(self, reports: Sequence[_Report]) -> None:
        """Merges reports that came with a call or with its answer."""
        self._merge(reports, "call")

    def merge_rows(self, rows: Sequence[Any]) -> None:
        """Merges rows of the ledger that the control instances keep.

        A trial that was granted to this node without an answer did not run.
        Left open, it would count as one that ended with a death, and the second
        one refuses the call for good.
        """
        reports = list(suspect_rows.decode_rows(rows))
        self._reporter.confirm(reports)
        self._merge(reports, "control")
        for trial in self._reporter.take_unused_trials(rows):
            self.end_trial(trial)

    def record_unseen_death(
        self, fingerprint: fingerprints.Fingerprint, event_id: str
    ) -> None:
        """Records a death that no node beside the backend server saw.

        Args:
            fingerprint: Fingerprint of a call that ran there.
            event_id: Id of the death, the same at every node that tells of it.
        """
        reports = death_reports.make(event_id, [fingerprint], [])
        new = self._quarantine.merge(self._clock.now_s(), reports)
        if new:
            self._sender.share(new, "lost-with-node")

    def get_open_reports(
        self, fingerprint: fingerprints.Fingerprint
    ) -> list[_Report]:
        """Returns all that is known of a call that is a suspect."""
        if not self.is_suspect(fingerprint):
            return []
        return self._quarantine.get_reports(
            self._clock.now_s(), fingerprint.digest_key
        )

    def is_suspect(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """True if deaths under a call are known that count."""
        return bool(self.records) and self._quarantine.is_suspect(
            self._clock.now_s(), fingerprint
        )

    def encode_latest(self) -> list[peer_request.PeerMessage]:
        """Returns the latest suspects as messages to a started sibling."""
        latest = self._quarantine.get_latest_reports(
            self._clock.now_s(), _MAXIMUM_SHARED_KEYS
        )
        return self._sender.encode(latest)

    def stop(self) -> None:
        """Sends no more reports."""
        self._reporter.stop()

    def _merge(self, reports: Sequence[_Report], source: str) -> list[_Report]:
        new = self._quarantine.merge(self._clock.now_s(), reports)
        if new:
            _log.info(
                event.Event.SUSPECTS_LEARNED,
                source=source,
                **suspect_log.describe(new),
            )
        return new

    def _has_abandoned(self) -> bool:
        return self._quarantine.has_abandoned(self._clock.now_s())

    def _record_survival(self, ticket_id: str) -> None:
        """Records that a run was cut off by something else than a death."""
        self.finish(ticket_id, False)

    def _record_death(self, evidence: str, is_past: bool) -> None:
        self._trials.clear()
        reports = self._quarantine.endpoint_died(
            self._clock.now_s(), is_past=is_past
        )
        if not reports:
            return
        _log.warning(
            event.Event.BACKEND_SERVER_DIED,
            evidence=evidence,
            suspects=len({report.key for report in reports}),
        )
        self._sender.share(reports, "death")
