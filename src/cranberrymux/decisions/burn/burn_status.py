"""The state of a budget."""

import enum


class BurnStatus(enum.Enum):
    """How an objective stands.

    Attributes:
        WITHIN: Budget is left and no pair of windows burns.
        BURNING: Budget is left, and a pair of windows burns.
        EXHAUSTED: No budget is left.
        NO_DATA: No answers in the window.
    """

    WITHIN = "within"
    BURNING = "burning"
    EXHAUSTED = "exhausted"
    NO_DATA = "no-data"
