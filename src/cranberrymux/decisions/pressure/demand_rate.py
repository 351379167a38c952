"""Estimated work a second that one account requests."""

import math

FAST_TIME_CONSTANT_S = 0.4
SLOW_TIME_CONSTANT_S = 2.0
# A fast mean that differs from the slow one by more standard errors than this
# shows a change of the demand.
CHANGE_STANDARD_ERRORS = 4.0
# It must also differ by this factor. When a queue drains, the calls of trees
# that were held there arrive faster, although no more is requested.
CHANGE_FACTOR = 2.0


class DemandRate:
    """Mean of the offered work, slow while the demand is steady.

    A fast mean alone varies so much for an account with few requests that it
    would be held back at times although it requests less than its fair share.
    A slow one alone would miss a burst.
    """

    __slots__ = (
        "_age_s",
        "_fast",
        "_is_new",
        "_last_square",
        "_last_work_s",
        "_slow",
        "_square_per_s",
        "square",
        "work_s",
    )

    def __init__(self) -> None:
        """Starts at no demand."""
        self.work_s = 0.0
        self.square = 0.0
        # Counted from before the first request, which would otherwise look like
        # many a second.
        self._age_s = FAST_TIME_CONSTANT_S
        self._is_new = True
        self._last_square = 0.0
        self._last_work_s = 0.0
        self._fast = 0.0
        self._slow = 0.0
        self._square_per_s = 0.0

    @property
    def per_s(self) -> float:
        """Seconds of work requested a second."""
        return self._slow

    def note(self, work_s: float) -> None:
        """Counts offered work, in seconds, since the last `roll`."""
        self.work_s += work_s
        self.square += work_s * work_s

    def add(self, other: "DemandRate") -> None:
        """Adds the demand of another account, as of its last window.

        If it has had only that one, its work counts in the next window here, as
        an account that is not tracked is new in every window.
        """
        if other._is_new:
            self.work_s += other._last_work_s
            self.square += other._last_square
            return
        self._fast += other._fast
        self._slow += other._slow
        self._square_per_s += other._square_per_s

    def roll(self, elapsed_s: float) -> None:
        """Ends a window of `elapsed_s` seconds."""
        self._is_new = self._age_s == FAST_TIME_CONSTANT_S
        self._age_s += elapsed_s
        weight = self._find_weight(elapsed_s, FAST_TIME_CONSTANT_S)
        self._fast += weight * (self.work_s / elapsed_s - self._fast)
        self._square_per_s += weight * (
            self.square / elapsed_s - self._square_per_s
        )
        slow_weight = self._find_weight(elapsed_s, SLOW_TIME_CONSTANT_S)
        self._slow += slow_weight * (self._fast - self._slow)
        error = math.sqrt(self._square_per_s / (2 * FAST_TIME_CONSTANT_S))
        difference = abs(self._fast - self._slow)
        low, high = sorted((self._fast, self._slow))
        if (
            difference > CHANGE_STANDARD_ERRORS * error
            and high > CHANGE_FACTOR * low
        ):
            self._slow = self._fast
        self._last_work_s = self.work_s
        self._last_square = self.square
        self.work_s = 0.0
        self.square = 0.0

    def _find_weight(self, elapsed_s: float, time_constant_s: float) -> float:
        """Weight of a window; at first, that of a mean over all windows."""
        weight = 1.0 - math.exp(-elapsed_s / time_constant_s)
        return max(weight, elapsed_s / self._age_s)
