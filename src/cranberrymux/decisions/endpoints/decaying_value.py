"""Exponential decay of a value between updates."""

import math


class DecayingValue:
    """A value that decays exponentially towards zero until it is set again.

    Attributes:
        latest: Value at the last `set`, which those after it do not exceed.
        set_at_s: Monotonic seconds at the last `set`; -inf before the first.
    """

    __slots__ = ("_time_constant_s", "latest", "set_at_s")

    def __init__(self, time_constant_s: float) -> None:
        """Starts at zero.

        Args:
            time_constant_s: Time in seconds in which the value falls by a
                factor of e.
        """
        self._time_constant_s = time_constant_s
        self.latest = 0.0
        self.set_at_s = -math.inf

    def set(self, now_s: float, value: float) -> None:
        """Replaces the value, which decays from `now_s` on."""
        self.latest = value
        self.set_at_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the decayed value at `now_s`, not before the last `set`."""
        if not self.latest:
            return 0.0
        elapsed_s = now_s - self.set_at_s
        if not elapsed_s:
            return self.latest
        return self.latest * math.exp(-elapsed_s / self._time_constant_s)
