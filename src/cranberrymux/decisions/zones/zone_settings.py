"""Parameters of the choice of a zone."""

from typing import NamedTuple


class ZoneSettings(NamedTuple):
    """What it costs a caller to leave its availability zone.

    Attributes:
        price_s: Seconds by which a request must be expected to end earlier in
            another zone, beyond the latency, before it leaves its own.
        latency_s: Additional round trip time in seconds to another zone, until
            it has been learned from answers.
    """

    price_s: float = 0.002
    latency_s: float = 0.002
