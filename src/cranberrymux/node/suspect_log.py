"""Fields of log lines on reports of suspects."""

from collections.abc import Sequence
from typing import Any

from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report

_MAXIMUM_VALUES = 4
_Kind = report_kind.ReportKind


def describe(reports: Sequence[suspect_report.SuspectReport]) -> dict[str, Any]:
    """Returns the log fields of reports; keys hold digests only."""
    sole = [report.key for report in reports if report.kind is _Kind.SOLE_DEATH]
    keys = list(dict.fromkeys(report.key for report in reports))
    events = sorted({report.event_id for report in reports})
    return {
        "events": events[:_MAXIMUM_VALUES],
        "kinds": sorted({report.kind.value for report in reports}),
        "keys": keys[:_MAXIMUM_VALUES],
        "sole": sole[:_MAXIMUM_VALUES],
        "count": len(reports),
    }
