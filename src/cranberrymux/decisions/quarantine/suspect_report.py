"""One fact about a suspect, as nodes and control instances share it."""

from typing import NamedTuple

from cranberrymux.decisions.quarantine import report_kind


class SuspectReport(NamedTuple):
    """A fact that every node adds to its own; order and repetition are free.

    Attributes:
        key: One of `Fingerprint.keys`.
        kind: What is reported.
        event_id: Id of the death or of the trial; the same in every copy of
            the report.
    """

    key: str
    kind: report_kind.ReportKind
    event_id: str
