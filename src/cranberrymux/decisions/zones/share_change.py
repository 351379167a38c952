"""Shares of zones, and the figures they follow from."""

from typing import NamedTuple


class ShareChange(NamedTuple):
    """Shares of the zones of a service, and the figures they follow from.

    Attributes:
        service: Name of the service.
        shares: Share of the requests that goes to each other zone, 0 to 1.
        expected_s: Expected seconds of one more request in each zone.
        gains_s: Seconds gained by going to each other zone, after latency and
            price.
    """

    service: str
    shares: dict[str, float]
    expected_s: dict[str, float]
    gains_s: dict[str, float]
