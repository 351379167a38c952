"""A rate of events, averaged over the recent past."""

import math

# Short enough that an account that becomes hot, or idle, shows within a second.
TIME_CONSTANT_S = 0.8


class RequestRate:
    """Events a second, weighted by an exponential decay."""

    __slots__ = ("_per_s", "_updated_s")

    def __init__(self, now_s: float) -> None:
        """Starts at zero."""
        self._per_s = 0.0
        self._updated_s = now_s

    def note(self, now_s: float, count: int = 1) -> None:
        """Adds events that occurred now."""
        self._per_s = self.get(now_s) + count / TIME_CONSTANT_S
        self._updated_s = now_s

    def count_missed(self, now_s: float) -> float:
        """Returns how many events the rate predicts since the last one."""
        return self._per_s * max(now_s - self._updated_s, 0.0)

    def get(self, now_s: float) -> float:
        """Returns the events a second."""
        elapsed_s = max(now_s - self._updated_s, 0.0)
        return self._per_s * math.exp(-elapsed_s / TIME_CONSTANT_S)
