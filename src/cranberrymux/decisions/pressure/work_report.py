"""Work of a call tree at each service, reported with the answers."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.models import whole_number

_MS_PER_S = 1000
_FIELD_COUNT = 2  # Fields of one part.
_MAXIMUM_SERVICES = 32  # Services read from one report.


class ServiceWork(NamedTuple):
    """Work of a tree at one service.

    Attributes:
        slot_s: Seconds for which the tree held slots there.
        requests: Number of its requests that held one.
    """

    slot_s: float
    requests: int = 1


WorkReport = dict[str, ServiceWork]


def add(report: WorkReport, other: Mapping[str, ServiceWork]) -> None:
    """Adds the work of a call to the report of its parent, in place."""
    for service, work in other.items():
        current = report.get(service, ServiceWork(0.0, 0))
        report[service] = ServiceWork(
            current.slot_s + work.slot_s, current.requests + work.requests
        )


def encode(report: Mapping[str, ServiceWork]) -> bytes:
    """Encodes a report as a header value.

    The parts, joined by commas, read `service=milliseconds/requests`.
    """
    return b",".join(
        b"%b=%d/%d"
        % (service.encode(), round(work.slot_s * _MS_PER_S), work.requests)
        for service, work in report.items()
    )


def decode(value: bytes) -> WorkReport:
    """Decodes a header value of `encode`; skips parts that are not valid."""
    report: WorkReport = {}
    for part in value.split(b",")[:_MAXIMUM_SERVICES]:
        service, _, numbers = part.partition(b"=")
        fields = [whole_number.decode(field) for field in numbers.split(b"/")]
        if len(fields) != _FIELD_COUNT:
            continue
        slot_ms, requests = fields
        if slot_ms is not None and requests is not None:
            report[service.decode("latin-1")] = ServiceWork(
                slot_ms / _MS_PER_S, requests
            )
    return report
