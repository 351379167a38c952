"""Work of a call tree at each service, reported with the answers."""

from collections.abc import Mapping

from cranberrymux.models import whole_number

_MS_PER_S = 1000
_MAXIMUM_SERVICES = 32  # Services read from one report.

# Seconds for which the tree held slots, by service.
WorkReport = dict[str, float]


def add(report: WorkReport, other: Mapping[str, float]) -> None:
    """Adds the work of a call to the report of its parent, in place."""
    for service, slot_s in other.items():
        report[service] = report.get(service, 0.0) + slot_s


def encode(report: Mapping[str, float]) -> bytes:
    """Encodes a report as a header value.

    The parts, joined by commas, read `service=milliseconds`.
    """
    return b",".join(
        b"%b=%d" % (service.encode(), round(slot_s * _MS_PER_S))
        for service, slot_s in report.items()
    )


def decode(value: bytes) -> WorkReport:
    """Decodes a header value of `encode`; skips parts that are not valid."""
    report: WorkReport = {}
    for part in value.split(b",")[:_MAXIMUM_SERVICES]:
        service, _, number = part.partition(b"=")
        slot_ms = whole_number.decode(number)
        if slot_ms is not None:
            report[service.decode("latin-1")] = slot_ms / _MS_PER_S
    return report
