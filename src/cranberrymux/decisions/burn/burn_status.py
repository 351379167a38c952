"""States of an objective's error budget."""

import enum


class BurnStatus(enum.Enum):
    """Whether an objective's budget is left, being spent or used up.

    Attributes:
        WITHIN: Budget is left and no pair of windows is burning.
        BURNING: Budget is left and at least one pair of windows is burning.
        EXHAUSTED: No budget is left.
        NO_DATA: The objective's window has no answers.
    """

    WITHIN = "within"
    BURNING = "burning"
    EXHAUSTED = "exhausted"
    NO_DATA = "no-data"
