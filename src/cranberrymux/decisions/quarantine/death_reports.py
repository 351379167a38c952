"""Makes the reports of one death of a backend server."""

from collections.abc import Collection
from collections.abc import Iterable

from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report

_Kind = report_kind.ReportKind
_Report = suspect_report.SuspectReport


def make(
    event_id: str,
    in_flight: Iterable[fingerprints.Fingerprint],
    suspects: Collection[fingerprints.Fingerprint],
) -> list[suspect_report.SuspectReport]:
    """Returns one report for each key, two if it was the only suspect.

    Args:
        event_id: Id of the death.
        in_flight: The calls that were in flight at the death.
        suspects: Those of them that were suspects before it.
    """
    sole_digests = {call.digest for call in suspects}
    reports = []
    for call in in_flight:
        is_sole = sole_digests == {call.digest}
        for key in call.keys:
            reports.append(_Report(key, _Kind.DEATH, event_id))
            if is_sole:
                reports.append(_Report(key, _Kind.SOLE_DEATH, event_id))
    return list(dict.fromkeys(reports))
