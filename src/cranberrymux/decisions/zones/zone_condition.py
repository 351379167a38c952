"""What a node expects of a zone for one service."""

from typing import NamedTuple


class ZoneCondition(NamedTuple):
    """Expected time and capacity of a zone's endpoints.

    Attributes:
        expected_s: Expected seconds that one more request takes there, without
            the network.
        slots: Slots of its endpoints that take requests.
        latency_s: Additional round trip time from the own zone in seconds.
    """

    expected_s: float
    slots: int
    latency_s: float = 0.0
