"""Decides how isolated a call runs after deaths of backend servers."""

from collections.abc import Iterable

from cranberrymux.decisions.quarantine import death_reports
from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine_refusal
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import running_suspects
from cranberrymux.decisions.quarantine import suspect_record
from cranberrymux.decisions.quarantine import suspect_records
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.models import refusal

_Kind = report_kind.ReportKind
_Report = suspect_report.SuspectReport


class Quarantine:
    """Counts deaths by fingerprint and classifies the calls of one endpoint.

    For every call, the node calls `classify`, then passes the result on to
    admission, which isolates suspects, and calls `start` and `finish`. When
    its backend server dies, it calls `endpoint_died` and sends the reports to
    the shared state. Reports of other nodes are taken in by `merge`.

    Attributes:
        records: The records by key, not to be changed by others.
        running: The calls in flight on the backend server.
    """

    def __init__(
        self,
        settings: quarantine_settings.QuarantineSettings,
        endpoint_id: str,
        incarnation: int,
    ) -> None:
        """Creates a quarantine without records.

        Args:
            settings: Thresholds and limits.
            endpoint_id: The endpoint of this node, for its reports.
            incarnation: Start time of this node, for its reports.
        """
        self._settings = settings
        self._endpoint_id = endpoint_id
        self._incarnation = incarnation
        self._records = suspect_records.SuspectRecords(settings)
        self.records = self._records.by_key
        self.running = running_suspects.RunningSuspects()
        self._deaths = 0

    @property
    def record_count(self) -> int:
        """Number of keys with a record."""
        return len(self.records)

    @property
    def linger_s(self) -> float:
        """Seconds for which a cancelled run may still crash its server."""
        return self._settings.linger_s

    def classify(
        self,
        now_s: float,
        fingerprint: fingerprints.Fingerprint,
        lost_attempts: int = 0,
    ) -> isolation.Isolation | refusal.Refusal:
        """Decides how a call may run, by the deaths counted for it.

        Args:
            now_s: Monotonic seconds.
            fingerprint: Fingerprint of the call.
            lost_attempts: Earlier attempts that lost their backend server, as
                reported by the caller, which may know of a death before the
                shared counts do.

        Returns:
            The isolation of the call, or a final refusal once the service has
            lost the allowed number of backend servers to it.
        """
        found = self._records.find(now_s, fingerprint.keys)
        counted = max(
            (record.open_deaths for record in found.values()), default=0
        )
        deaths = max(counted, lost_attempts)
        was_sole = any(record.was_sole for record in found.values())
        if self._settings.refuses(deaths, was_sole=was_sole):
            for key, record in found.items():
                self._records.put(key, record._replace(used_s=now_s))
            id_record = found.get(fingerprint.keys[0])
            has_run = (
                bool(fingerprint.request_id)
                and id_record is not None
                and id_record.open_deaths > 0
            )
            return quarantine_refusal.make(
                deaths, may_have_run=has_run or lost_attempts > 0
            )
        if deaths >= self._settings.deaths_to_alone:
            return isolation.Isolation.ALONE
        if deaths:
            return isolation.Isolation.SUSPECT
        return isolation.Isolation.CLEAR

    def get_trial_wait_s(
        self, now_s: float, fingerprint: fingerprints.Fingerprint
    ) -> float:
        """Returns the seconds until a refused call may run once more.

        Without a trial, a call that met several deaths of another cause would
        be refused for good.

        Args:
            now_s: Monotonic seconds.
            fingerprint: Fingerprint of a call that `classify` refused.

        Returns:
            0.0 if it may run now; infinity if all trials are used up.
        """
        record = self._get(now_s, fingerprint.digest_key)
        delay_s = self._settings.get_trial_delay_s(
            record.fatal_trials,
            record.inconclusive_trials,
            was_sole=record.was_sole,
        )
        return max(record.changed_s + delay_s - now_s, 0.0)

    def make_trial(
        self, now_s: float, fingerprint: fingerprints.Fingerprint
    ) -> suspect_report.SuspectReport:
        """Returns the report of the next trial of a refused call.

        All nodes name the next trial alike, so that one of them can be granted
        it. It counts once it is merged.
        """
        key = fingerprint.digest_key
        number = len(self._get(now_s, key).trials)
        return _Report(key, _Kind.TRIAL, f"trial-{number}")

    def end_trial(
        self, now_s: float, trial: suspect_report.SuspectReport
    ) -> list[suspect_report.SuspectReport]:
        """Records that a trial ended, neither whole nor with a death.

        Returns:
            Reports for the shared state.
        """
        ended = _Report(trial.key, _Kind.TRIAL_ENDED, trial.event_id)
        return self.merge(now_s, [ended])

    def start(
        self,
        ticket_id: str,
        fingerprint: fingerprints.Fingerprint,
        *,
        is_suspect: bool,
    ) -> None:
        """Records that a call is in flight on the backend server.

        Args:
            ticket_id: Id of the call at admission.
            fingerprint: The fingerprint that was passed to `classify`.
            is_suspect: True if the result of `classify` was not `CLEAR`.
        """
        self.running.start(ticket_id, fingerprint, is_suspect=is_suspect)

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        is_clean: bool,
        *,
        may_still_run: bool = False,
    ) -> list[suspect_report.SuspectReport]:
        """Records the end of a call whose backend server is still alive.

        Args:
            now_s: Monotonic seconds.
            ticket_id: Id of the call at admission; ignored if not in flight.
            is_clean: True if the backend server ran the call to its end.
                Nothing is cleared otherwise, such as by a cancelled call.
            may_still_run: True if the backend server may still be at work on
                it, so that it counts if it dies within `linger_s`.

        Returns:
            Reports for the shared state of what no longer counts.
        """
        if may_still_run:
            self.running.abandon(now_s, ticket_id)
            return []
        fingerprint = self.running.end(ticket_id)
        if fingerprint is None or not is_clean:
            return []
        return self._clear(now_s, fingerprint)

    def has_abandoned(self, now_s: float) -> bool:
        """True if a cancelled call may have ended the replaced endpoint."""
        return self.running.has_abandoned(now_s - self._settings.maximum_down_s)

    def endpoint_died(
        self, now_s: float, *, is_past: bool = False
    ) -> list[suspect_report.SuspectReport]:
        """Records the death of the backend server for every call in flight.

        All of these calls are suspects from now on, and none is in flight.

        Args:
            now_s: Monotonic seconds.
            is_past: True if it died up to `maximum_down_s` ago.

        Returns:
            Reports for the shared state, one or two for each key.
        """
        settings = self._settings
        since_s = now_s - settings.linger_s
        if is_past:
            since_s -= settings.maximum_down_s
        self._deaths += 1
        event_id = f"{self._endpoint_id}#{self._incarnation}#{self._deaths}"
        started_as_suspects = self.running.find_suspects()
        in_flight = self.running.take_all(since_s)
        suspects = {
            call
            for call in in_flight
            if call in started_as_suspects
            or self._get(now_s, call.digest_key).open_deaths
        }
        reports = death_reports.make(event_id, in_flight, suspects)
        self.merge(now_s, reports)
        for call in in_flight:
            if call.request_id:
                self._records.add_digest(now_s, call.keys[0], call.digest)
        return reports

    def merge(
        self, now_s: float, reports: Iterable[suspect_report.SuspectReport]
    ) -> list[suspect_report.SuspectReport]:
        """Adds reports; returns those that were not known.

        Args:
            now_s: Monotonic seconds.
            reports: Reports of any node, in any order.
        """
        return self._records.merge(now_s, reports)

    def is_suspect(
        self, now_s: float, fingerprint: fingerprints.Fingerprint
    ) -> bool:
        """True if deaths count for the content of a call."""
        return self._get(now_s, fingerprint.digest_key).open_deaths > 0

    def get_reports(
        self, now_s: float, key: str
    ) -> list[suspect_report.SuspectReport]:
        """Returns all that is known of a key."""
        return self._get(now_s, key).make_reports(key)

    def get_latest_reports(
        self, now_s: float, key_count: int
    ) -> list[suspect_report.SuspectReport]:
        """Returns all that is known of the keys that were used last."""
        return self._records.get_latest_reports(now_s, key_count)

    def take_unshared(
        self,
        now_s: float,
        fingerprint: fingerprints.Fingerprint,
        interval_s: float,
    ) -> list[suspect_report.SuspectReport]:
        """Returns the reports on a call if they were not shared for so long.

        Shared again while the call still comes, they are not forgotten where
        only reports renew what is known.
        """
        return self._records.take_unshared(
            now_s, fingerprint.digest_key, interval_s
        )

    def _get(self, now_s: float, key: str) -> suspect_record.SuspectRecord:
        return self._records.get(now_s, key) or suspect_record.EMPTY

    def _clear(
        self, now_s: float, fingerprint: fingerprints.Fingerprint
    ) -> list[suspect_report.SuspectReport]:
        """Clears the deaths of a call that has run to its end.

        The request id is cleared only when every digest that was in flight
        under it has run to its end.
        """
        if not self.records:
            return []
        reports = self._records.clear(now_s, fingerprint.digest_key)
        if not fingerprint.request_id:
            return reports
        id_key = fingerprint.keys[0]
        if not self._records.remove_digest(now_s, id_key, fingerprint.digest):
            return reports
        return reports + self._records.clear(now_s, id_key)
