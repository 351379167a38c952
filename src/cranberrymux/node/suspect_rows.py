"""Converts reports on suspects to the ledger that control instances keep.

The ledger keeps sets of ids by name. The name of a set of deaths is the key of
the call; those of the other kinds of reports are made from it.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.wire.gen.messages import ttypes

_Kind = report_kind.ReportKind
_KIND_BY_SUFFIX = {
    "sole": _Kind.SOLE_DEATH,
    "cleared": _Kind.CLEARED,
    "ended": _Kind.TRIAL_ENDED,
}
_SUFFIX_BY_KIND = {kind: suffix for suffix, kind in _KIND_BY_SUFFIX.items()}
_TRIAL_PREFIX = "trial-"


def encode_item(
    report: suspect_report.SuspectReport, reporter: str
) -> ttypes.SuspectItem:
    """Returns the entry of the ledger that stands for a report.

    Args:
        report: The report.
        reporter: Name of the process. The first that reports a trial is
            granted it.
    """
    if report.kind is _Kind.TRIAL:
        return ttypes.SuspectItem(
            fingerprint=f"{report.key}/{report.event_id}", event_id=reporter
        )
    name = report.key
    if report.kind in _SUFFIX_BY_KIND:
        name = f"{name}/{_SUFFIX_BY_KIND[report.kind]}"
    return ttypes.SuspectItem(fingerprint=name, event_id=report.event_id)


def decode_rows(rows: Iterable[Any]) -> Iterator[suspect_report.SuspectReport]:
    """Returns the reports that rows of the ledger stand for."""
    for row in rows:
        key, _, suffix = row.fingerprint.rpartition("/")
        if suffix.startswith(_TRIAL_PREFIX):
            yield suspect_report.SuspectReport(key, _Kind.TRIAL, suffix)
            continue
        kind = _KIND_BY_SUFFIX.get(suffix, _Kind.DEATH)
        if kind is _Kind.DEATH:
            key = row.fingerprint
        for event_id in row.event_ids:
            yield suspect_report.SuspectReport(key, kind, event_id)


def find_trials(
    rows: Iterable[Any], reporter: str
) -> Iterator[suspect_report.SuspectReport]:
    """Returns the trials among rows that were granted to a process.

    Args:
        rows: Rows of the ledger.
        reporter: Name of the process.
    """
    for row in rows:
        if list(row.event_ids) != [reporter]:
            continue
        for report in decode_rows([row]):
            if report.kind is _Kind.TRIAL:
                yield report
