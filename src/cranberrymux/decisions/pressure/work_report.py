"""Work of a call tree at each service, reported with the answers."""

from typing import NamedTuple

from cranberrymux.models import whole_number

_MS_PER_S = 1000
MINIMUM_WEIGHT_S = 0.005  # Added to the work, which may be zero.
_MAXIMUM_PARTS = 64  # Parts read from one report.
_ACCOUNT_MARK = b"@"


class ServiceWork(NamedTuple):
    """Work at one service and the share that it can take.

    Attributes:
        slot_s: Seconds for which the tree held slots there.
        share: Share of the offered work that the service can take, 0.0 to 1.0.
        account_share: The same for the work of the tree's account; None if the
            service does not tell accounts apart at present.
    """

    slot_s: float
    share: float
    account_share: float | None = None


WorkReport = dict[str, ServiceWork]


def add(report: WorkReport, other: WorkReport) -> None:
    """Adds the work of a call to the report of its parent, in place."""
    for service, part in other.items():
        current = report.get(service)
        if current is None:
            report[service] = part
            continue
        report[service] = _add_parts(current, part)


def _add_parts(current: ServiceWork, part: ServiceWork) -> ServiceWork:
    """Sums the work and averages the shares, weighted by work.

    The minimum over many reports would be too low.
    """
    weight = current.slot_s + MINIMUM_WEIGHT_S
    added = part.slot_s + MINIMUM_WEIGHT_S
    total = weight + added
    account_share = current.account_share
    if account_share is None:
        account_share = part.account_share
    elif part.account_share is not None:
        account_share = (
            weight * account_share + added * part.account_share
        ) / total
    return ServiceWork(
        current.slot_s + part.slot_s,
        (weight * current.share + added * part.share) / total,
        account_share,
    )


def encode(report: WorkReport) -> bytes:
    """Encodes a report as a header value.

    The parts, joined by commas, read `service=milliseconds/per-mille`. Shares
    of the tree's account follow as parts `service=@per-mille`, which nodes of
    earlier versions skip.
    """
    parts = []
    account_parts = []
    for service, part in report.items():
        name = service.encode()
        parts.append(encode_part(name, part.slot_s, part.share))
        if part.account_share is not None:
            account_parts.append(
                b"%b=%b%.0f" % (name, _ACCOUNT_MARK, part.account_share * 1000)
            )
    return b",".join(parts + account_parts)


def encode_part(service: bytes, slot_s: float, share: float) -> bytes:
    """Encodes a report of one service without accounts; see `encode`."""
    return b"%b=%.0f/%.0f" % (service, slot_s * _MS_PER_S, share * 1000)


def decode(value: bytes) -> WorkReport:
    """Decodes a header value of `encode`; skips parts that are not valid."""
    report: WorkReport = {}
    for part in value.split(b",")[:_MAXIMUM_PARTS]:
        service, _, numbers = part.partition(b"=")
        if numbers.startswith(_ACCOUNT_MARK):
            _decode_account_share(report, service.decode("latin-1"), numbers)
            continue
        first, _, second = numbers.partition(b"/")
        slot_ms = whole_number.decode(first)
        share = whole_number.decode(second)
        if slot_ms is not None and share is not None:
            report[service.decode("latin-1")] = ServiceWork(
                slot_ms / _MS_PER_S, share / 1000
            )
    return report


def _decode_account_share(
    report: WorkReport, service: str, value: bytes
) -> None:
    share = whole_number.decode(value[len(_ACCOUNT_MARK) :])
    part = report.get(service)
    if share is not None and part is not None:
        report[service] = part._replace(account_share=share / 1000)
