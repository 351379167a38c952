"""Encodes the reports on suspects that nodes send to their siblings.

Siblings are the other endpoints of the same service. They are told of the
deaths of a backend server and of suspects that ran to their end.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools

from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.node import peer_request
from cranberrymux.node.http import headers

TARGET = b"/cranberrymux/v1/suspect"
HEADER = b"cranberrymux-suspect"
REPORTS_PER_MESSAGE = 32
_PART_COUNT = 3
_MAXIMUM_BYTES = 16_384


def encode(
    reports: Iterable[suspect_report.SuspectReport], cluster_key: bytes
) -> Iterator[peer_request.PeerMessage]:
    """Returns the messages that carry the reports."""
    left = iter(reports)
    while batch := list(itertools.islice(left, REPORTS_PER_MESSAGE)):
        header = (HEADER, encode_value(batch))
        yield peer_request.PeerMessage(TARGET, header, cluster_key)


def encode_value(reports: Sequence[suspect_report.SuspectReport]) -> bytes:
    """Encodes at most `REPORTS_PER_MESSAGE` reports as a header's value."""
    return ",".join(
        f"{report.kind.value};{report.key};{report.event_id}"
        for report in reports[:REPORTS_PER_MESSAGE]
    ).encode()


def read(
    head_headers: headers.HeaderList,
) -> Sequence[suspect_report.SuspectReport] | None:
    """Returns the reports of a message; None if there are no valid ones."""
    value = headers.find(head_headers, HEADER)
    return None if value is None else decode(value)


def decode(value: bytes) -> Sequence[suspect_report.SuspectReport] | None:
    """Decodes the header of a message; returns None if it is not valid."""
    if len(value) > _MAXIMUM_BYTES:
        return None
    reports = []
    for text in value.decode("latin-1").split(","):
        parts = text.split(";")
        try:
            kind = report_kind.ReportKind(parts[0])
        except ValueError:
            return None
        if len(parts) != _PART_COUNT:
            return None
        reports.append(suspect_report.SuspectReport(parts[1], kind, parts[2]))
    return reports
