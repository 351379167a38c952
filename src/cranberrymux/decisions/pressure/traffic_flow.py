"""Arrivals of one traffic class at the root and the share that may start."""

import copy
from typing import NamedTuple

from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)


class HeldBackClass(NamedTuple):
    """A traffic class of which only a part may start.

    Attributes:
        traffic_class: The class.
        per_s: Mean arrivals a second.
        share: Share of them that may start, below 1.0.
    """

    traffic_class: traffic_class_module.TrafficClass
    per_s: float
    share: float


class TrafficFlow:
    """Counts and share of one traffic class.

    Attributes:
        arrived: Requests since the last refresh.
        credit: Requests that may start; less than one is kept for later.
        is_held_back: True while only a part of the requests may start.
        per_s: Mean arrivals a second.
        refused: Requests refused since the last one that started.
        share: Share of the requests that may start, 0.0 to 1.0.
    """

    __slots__ = (
        "arrived",
        "credit",
        "is_held_back",
        "per_s",
        "refused",
        "share",
    )

    def __init__(self) -> None:
        """Starts without arrivals and with all admitted."""
        self.arrived = 0
        self.per_s = 0.0
        self.share = 1.0
        self.credit = 1.0
        self.refused = 0
        self.is_held_back = False

    def __deepcopy__(self, memo: object) -> "TrafficFlow":
        """Returns a copy."""
        # All attributes are numbers; the usual way takes four times as long.
        return copy.copy(self)

    def admit(self) -> int:
        """Returns for how many requests one that starts stands."""
        stands_for = self.refused + 1
        self.refused = 0
        return stands_for
