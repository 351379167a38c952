"""Work that a call tree is expected to do where capacity is short."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.models import whole_number

_MS_PER_S = 1000
_PER_MILLE = 1000
_FIELD_COUNT = 3  # Fields of one part.
_MAXIMUM_SERVICES = 32  # Services read from one request.


class ExpectedWork(NamedTuple):
    """Work of a tree at one service.

    Attributes:
        slot_s: Seconds for which the tree will hold slots there; 0.0 if that
            is not known.
        share: Share of the offered work that was admitted where the tree
            started, 0.0 to 1.0.
        is_counted: True if an earlier request of the tree has brought the
            work to the service.
    """

    slot_s: float
    share: float
    is_counted: bool = False


def encode(expected: Mapping[str, ExpectedWork]) -> bytes:
    """Encodes the work by service as a header value.

    The parts, joined by commas, read
    `service=milliseconds/per-mille/is_counted`.
    """
    return b",".join(
        b"%b=%d/%d/%d"
        % (
            service.encode(),
            round(work.slot_s * _MS_PER_S),
            round(work.share * _PER_MILLE),
            work.is_counted,
        )
        for service, work in expected.items()
    )


def decode(value: bytes) -> dict[str, ExpectedWork]:
    """Decodes a header value of `encode`; skips parts that are not valid."""
    expected = {}
    for part in value.split(b",")[:_MAXIMUM_SERVICES]:
        service, _, numbers = part.partition(b"=")
        fields = [whole_number.decode(field) for field in numbers.split(b"/")]
        if len(fields) != _FIELD_COUNT:
            continue
        slot_ms, share, is_counted = fields
        if slot_ms is not None and share is not None and is_counted is not None:
            expected[service.decode("latin-1")] = ExpectedWork(
                slot_ms / _MS_PER_S,
                min(share / _PER_MILLE, 1.0),
                bool(is_counted),
            )
    return expected
