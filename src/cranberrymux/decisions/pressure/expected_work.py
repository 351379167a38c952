"""Work that a call tree is expected to do where capacity is short."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.models import whole_number

_PER_CENT = 100
_PER_MILLE = 1000
_FIELD_COUNT = 3  # Fields of one part.
_MAXIMUM_SERVICES = 32  # Services read from one request.


class ExpectedWork(NamedTuple):
    """Work of a tree at one service.

    Attributes:
        requests: Mean number of requests that such trees make there; 0.0 if
            that is not known. How long each takes depends on the endpoint.
        share: Share of the offered work that was admitted where the tree
            started, 0.0 to 1.0.
        is_counted: True if an earlier request of the tree has brought the
            work to the service.
    """

    requests: float
    share: float
    is_counted: bool = False


def encode(expected: Mapping[str, ExpectedWork]) -> bytes:
    """Encodes the work by service as a header value.

    The parts, joined by commas, read
    `service=requests in hundredths/per-mille/is_counted`.
    """
    return b",".join(
        b"%b=%d/%d/%d"
        % (
            service.encode(),
            round(work.requests * _PER_CENT),
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
        requests, share, is_counted = fields
        if requests is None or share is None or is_counted is None:
            continue
        expected[service.decode("latin-1")] = ExpectedWork(
            requests / _PER_CENT,
            min(share / _PER_MILLE, 1.0),
            bool(is_counted),
        )
    return expected
