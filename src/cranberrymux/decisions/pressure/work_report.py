"""Work of a call tree at each service, reported with the answers."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.models import whole_number

_MS_PER_S = 1000
_FIELD_COUNT = 3  # Fields of one part.
_MAXIMUM_SERVICES = 32  # Services read from one report.


class ServiceWork(NamedTuple):
    """Work at one service and the share that it can take.

    Attributes:
        slot_s: Seconds for which the tree held slots there.
        share: Mean share of the offered work that the endpoints which were
            chosen first can take, 0.0 to 1.0.
        samples: Number of endpoints in that mean; 0 if the share is not known.
    """

    slot_s: float
    share: float
    samples: int = 1


WorkReport = dict[str, ServiceWork]


def add(report: WorkReport, other: WorkReport) -> None:
    """Adds the work of a call to the report of its parent, in place."""
    for service, part in other.items():
        current = report.get(service)
        if current is None:
            report[service] = part
            continue
        report[service] = ServiceWork(
            current.slot_s + part.slot_s,
            _average_share(current, part),
            current.samples + part.samples,
        )


def _average_share(current: ServiceWork, part: ServiceWork) -> float:
    """Averages two shares by the number of endpoints.

    Weighted by work, endpoints that take little would count little.
    """
    samples = current.samples + part.samples
    if not samples:
        return current.share
    return (
        current.samples * current.share + part.samples * part.share
    ) / samples


def encode(report: Mapping[str, ServiceWork]) -> bytes:
    """Encodes a report as a header value.

    The parts, joined by commas, read `service=milliseconds/per-mille/samples`.
    """
    return b",".join(
        b"%b=%d/%d/%d"
        % (
            service.encode(),
            round(part.slot_s * _MS_PER_S),
            round(part.share * 1000),
            part.samples,
        )
        for service, part in report.items()
    )


def decode(value: bytes) -> WorkReport:
    """Decodes a header value of `encode`; skips parts that are not valid."""
    report: WorkReport = {}
    for part in value.split(b",")[:_MAXIMUM_SERVICES]:
        service, _, numbers = part.partition(b"=")
        fields = [whole_number.decode(text) for text in numbers.split(b"/")]
        if len(fields) != _FIELD_COUNT:
            continue
        slot_ms, share, samples = fields
        if slot_ms is not None and share is not None and samples is not None:
            report[service.decode("latin-1")] = ServiceWork(
                slot_ms / _MS_PER_S, share / 1000, samples
            )
    return report
