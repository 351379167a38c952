"""The verdict that a call may run now."""

from typing import NamedTuple


class Admitted(NamedTuple):
    """The call holds a slot until `finish` is told.

    Attributes:
        waited_s: Seconds that it was queued; 0.0 if it started at once.
    """

    waited_s: float
