"""Work of a call tree at each service, reported with the answers."""

from typing import NamedTuple

from cranberrymux.models import whole_number

_MS_PER_S = 1000
MINIMUM_WEIGHT_S = 0.005  # Added to the work, which may be zero.
_MAXIMUM_PARTS = 64  # Parts read from one report.
_ACCOUNT_MARK = b"@"
_OFFERED_MARK = b"~"
_MARKS = (_ACCOUNT_MARK, _OFFERED_MARK)


class ServiceWork(NamedTuple):
    """Work at one service and the share that it can take.

    Attributes:
        slot_s: Seconds for which the tree held slots there.
        share: Share of the offered work that the service can take, 0.0 to 1.0.
        account_share: The same for the work of the tree's account; None if the
            service does not tell accounts apart at present.
        offered_s: Seconds of work for which its endpoints were chosen first,
            which the share is a mean over; None if that is `slot_s`. A request
            that one refuses and another runs was offered to the former.
    """

    slot_s: float
    share: float
    account_share: float | None = None
    offered_s: float | None = None

    @property
    def weight_s(self) -> float:
        """Weight of the shares in a mean."""
        offered_s = self.slot_s if self.offered_s is None else self.offered_s
        return offered_s + MINIMUM_WEIGHT_S


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
    """Sums the work and averages the shares, weighted by offered work.

    The minimum over many reports would be too low. Weighted by the work that
    they run, endpoints that have no room would hardly count.
    """
    weight = current.weight_s
    added = part.weight_s
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
        _add_offered(current, part),
    )


def _add_offered(current: ServiceWork, part: ServiceWork) -> float | None:
    if current.offered_s is None and part.offered_s is None:
        return None
    minimums_s = 2 * MINIMUM_WEIGHT_S
    return max(current.weight_s + part.weight_s - minimums_s, 0.0)


def encode(report: WorkReport) -> bytes:
    """Encodes a report as a header value.

    The parts, joined by commas, read `service=milliseconds/per-mille`. Parts
    that nodes of earlier versions skip follow: `service=@per-mille` for shares
    of the tree's account and `service=~milliseconds` for the work that was
    offered.
    """
    parts = []
    optional_parts = []
    for service, part in report.items():
        name = service.encode()
        parts.append(encode_part(name, part.slot_s, part.share))
        if part.account_share is not None:
            optional_parts.append(
                b"%b=%b%.0f" % (name, _ACCOUNT_MARK, part.account_share * 1000)
            )
        if part.offered_s is not None:
            optional_parts.append(
                b"%b=%b%.0f" % (name, _OFFERED_MARK, part.offered_s * _MS_PER_S)
            )
    return b",".join(parts + optional_parts)


def encode_part(service: bytes, slot_s: float, share: float) -> bytes:
    """Encodes a report of one service without further parts; see `encode`."""
    return b"%b=%.0f/%.0f" % (service, slot_s * _MS_PER_S, share * 1000)


def decode(value: bytes) -> WorkReport:
    """Decodes a header value of `encode`; skips parts that are not valid."""
    report: WorkReport = {}
    for part in value.split(b",")[:_MAXIMUM_PARTS]:
        service, _, numbers = part.partition(b"=")
        if numbers[:1] in _MARKS:
            _decode_marked(report, service.decode("latin-1"), numbers)
            continue
        first, _, second = numbers.partition(b"/")
        slot_ms = whole_number.decode(first)
        share = whole_number.decode(second)
        if slot_ms is not None and share is not None:
            report[service.decode("latin-1")] = ServiceWork(
                slot_ms / _MS_PER_S, share / 1000
            )
    return report


def _decode_marked(report: WorkReport, service: str, value: bytes) -> None:
    number = whole_number.decode(value[1:])
    part = report.get(service)
    if number is None or part is None:
        return
    if value[:1] == _ACCOUNT_MARK:
        part = part._replace(account_share=number / 1000)
    else:
        part = part._replace(offered_s=number / _MS_PER_S)
    report[service] = part
