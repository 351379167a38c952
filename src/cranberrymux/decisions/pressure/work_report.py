"""Work of a call tree at each service, reported with the answers."""

from typing import NamedTuple

from cranberrymux.models import whole_number

_MS_PER_S = 1000
MINIMUM_WEIGHT_S = 0.005  # Added to the work, which may be zero.
_MAXIMUM_SERVICES = 32  # Services read from one report.


class ServiceWork(NamedTuple):
    """Work at one service and the share that it can take.

    Attributes:
        slot_s: Seconds for which the tree held slots there.
        share: Share of the offered work that the service can take, 0.0 to 1.0.
    """

    slot_s: float
    share: float


WorkReport = dict[str, ServiceWork]


def add(report: WorkReport, other: WorkReport) -> None:
    """Adds the work of a call to the report of its parent, in place."""
    for service, part in other.items():
        current = report.get(service)
        if current is None:
            report[service] = part
            continue
        report[service] = ServiceWork(
            current.slot_s + part.slot_s, _average_share(current, part)
        )


def _average_share(current: ServiceWork, part: ServiceWork) -> float:
    """Averages two shares, weighted by work.

    The minimum over many reports would be too low.
    """
    weight = current.slot_s + MINIMUM_WEIGHT_S
    added = part.slot_s + MINIMUM_WEIGHT_S
    return (weight * current.share + added * part.share) / (weight + added)


def encode(report: WorkReport) -> bytes:
    """Encodes a report as a header value.

    The parts, joined by commas, read `service=milliseconds/per-mille`.
    """
    return b",".join(
        [
            b"%b=%d/%d"
            % (
                service.encode(),
                round(part.slot_s * _MS_PER_S),
                round(part.share * 1000),
            )
            for service, part in report.items()
        ]
    )


def decode(value: bytes) -> WorkReport:
    """Decodes a header value of `encode`; skips parts that are not valid."""
    report: WorkReport = {}
    for part in value.split(b",")[:_MAXIMUM_SERVICES]:
        service, _, numbers = part.partition(b"=")
        first, _, second = numbers.partition(b"/")
        slot_ms = whole_number.decode(first)
        share = whole_number.decode(second)
        if slot_ms is not None and share is not None:
            report[service.decode("latin-1")] = ServiceWork(
                slot_ms / _MS_PER_S, share / 1000
            )
    return report
