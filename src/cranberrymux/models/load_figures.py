"""What a backend server says of its load in an answer."""

from typing import NamedTuple


class LoadFigures(NamedTuple):
    """Load of a backend server at the time of one answer, as it says itself.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests that it has accepted and not started.
        slots: Number of requests that it can run at once, at least 1.
        slowness: Ratio of the present to the usual time of work on its
            machine; None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None
