"""Which refused requests get repeats first."""

from typing import NamedTuple

# Runs that need so many further calls, however important, give way to requests
# that are no part of a run: one repeat may end these, a run needs several.
LONG_RUN_CALLS = 3


class RepeatOrder(NamedTuple):
    """What decides whether a repeat goes to one request or to another.

    Attributes:
        rank: Priority rank of the work; lower is more important.
        remaining_calls: Calls that the run which makes the request still needs
            to end, this one included; at least 1.
        is_whole: True if the request is no call of a run and makes none.
    """

    rank: float
    remaining_calls: int = 1
    is_whole: bool = False

    @property
    def is_long(self) -> bool:
        """True for a call of a run that needs many more."""
        return self.remaining_calls >= LONG_RUN_CALLS

    def precedes(self, other: "RepeatOrder") -> bool:
        """Returns whether this request gets a repeat before another.

        The more important one does and, among equals, the one whose run needs
        fewer further calls; but a whole request does before a long run.
        """
        if self.is_whole != other.is_whole and (self.is_long or other.is_long):
            return self.is_whole
        return self[:2] < other[:2]
