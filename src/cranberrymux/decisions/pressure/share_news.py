"""What nodes tell each other of the services that are short of capacity."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.models import whole_number

_PER_MILLE = 1000
_MS_PER_S = 1000
_FIELD_COUNT = 2  # Fields of one part.
_MAXIMUM_SERVICES = 32  # Services read from one message.


class ShareNews(NamedTuple):
    """The share that a service can take, as one node knows it.

    Attributes:
        share: Share of the offered work, 0.0 to 1.0.
        age_s: Seconds since the newest report that it is based on.
    """

    share: float
    age_s: float


def encode(news: Mapping[str, ShareNews]) -> bytes:
    """Encodes news as a header value.

    The parts, joined by commas, read `service=per-mille/milliseconds`.
    """
    return b",".join(
        b"%b=%d/%d"
        % (
            service.encode(),
            round(part.share * _PER_MILLE),
            round(part.age_s * _MS_PER_S),
        )
        for service, part in news.items()
    )


def decode(value: bytes) -> dict[str, ShareNews]:
    """Decodes a header value of `encode`; skips parts that are not valid."""
    news = {}
    for text in value.split(b",")[:_MAXIMUM_SERVICES]:
        service, _, numbers = text.partition(b"=")
        fields = [whole_number.decode(field) for field in numbers.split(b"/")]
        if len(fields) != _FIELD_COUNT:
            continue
        share, age_ms = fields
        if share is not None and age_ms is not None:
            news[service.decode("latin-1")] = ShareNews(
                min(share / _PER_MILLE, 1.0), age_ms / _MS_PER_S
            )
    return news
