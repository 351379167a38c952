"""What is known of the calls with one key of a fingerprint."""

from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report

# Ids kept of each kind. Beyond it, those of deaths that no longer count are
# dropped; if all count, one more changes no decision.
MAXIMUM_EVENTS = 32
_Kind = report_kind.ReportKind
_NONE: frozenset[str] = frozenset()


class SuspectRecord(NamedTuple):
    """Ids of the reported events; all nodes come to the same sets.

    Attributes:
        deaths: Deaths of backend servers with the call in flight.
        sole_deaths: Those at which it was the only suspect in flight.
        cleared: Deaths and trials that no longer count.
        trials: Runs that were granted although the call was refused.
        ended_trials: Those that ended neither whole nor with a death.
        changed_s: Monotonic seconds of the last new report.
        used_s: Monotonic seconds of that, or of the last refusal if later.
        reported_s: Monotonic seconds at which the reports were last sent to
            the control instances.
        digests: Digests in flight under a request id at its deaths that have
            not run to their end since. Empty in the record of a digest, and
            in a record made from reports of other nodes, which only age
            clears.
    """

    deaths: frozenset[str] = _NONE
    sole_deaths: frozenset[str] = _NONE
    cleared: frozenset[str] = _NONE
    trials: frozenset[str] = _NONE
    ended_trials: frozenset[str] = _NONE
    changed_s: float = 0.0
    used_s: float = 0.0
    reported_s: float = 0.0
    digests: frozenset[str] = _NONE

    @property
    def open_deaths(self) -> int:
        """Number of deaths that still count."""
        return len(self.deaths - self.cleared)

    @property
    def fatal_trials(self) -> int:
        """Number of trials that count and may have ended with a death."""
        return len(self.trials - self.cleared - self.ended_trials)

    @property
    def inconclusive_trials(self) -> int:
        """Number of trials that count and ended without a death."""
        return len((self.trials & self.ended_trials) - self.cleared)

    @property
    def was_sole(self) -> bool:
        """True if the call was the only suspect at a death that counts."""
        return bool(self.sole_deaths - self.cleared)

    @property
    def open_events(self) -> frozenset[str]:
        """Ids of the deaths and trials that still count."""
        return (self.deaths | self.trials) - self.cleared

    def add(self, report: suspect_report.SuspectReport) -> "SuspectRecord":
        """Returns the record with one more report; itself if it is known."""
        name = _FIELDS[report.kind]
        if report.event_id in getattr(self, name):
            return self
        record = self
        if len(getattr(record, name)) >= MAXIMUM_EVENTS:
            record = self._drop_cleared_deaths()
        known = getattr(record, name)
        if len(known) >= MAXIMUM_EVENTS:
            return self
        changes: dict[str, Any] = {name: known | {report.event_id}}
        return record._replace(**changes)

    def _drop_cleared_deaths(self) -> "SuspectRecord":
        done = self.deaths & self.cleared
        return self._replace(
            deaths=self.deaths - done,
            sole_deaths=self.sole_deaths - done,
            cleared=self.cleared - done,
        )

    def make_reports(self, key: str) -> list[suspect_report.SuspectReport]:
        """Returns all that the record says, in a fixed order."""
        return [
            suspect_report.SuspectReport(key, kind, event_id)
            for kind, name in _FIELDS.items()
            for event_id in sorted(getattr(self, name))
        ]


_FIELDS = {
    _Kind.DEATH: "deaths",
    _Kind.SOLE_DEATH: "sole_deaths",
    _Kind.CLEARED: "cleared",
    _Kind.TRIAL: "trials",
    _Kind.TRIAL_ENDED: "ended_trials",
}

EMPTY = SuspectRecord()
