"""Exponential decay of a value between updates."""

import math


class DecayingValue:
    """A value that decays exponentially towards zero until it is set again."""

    __slots__ = ("_time_constant_s", "_set_at_s", "_value")

    def __init__(self, time_constant_s: float) -> None:
        """Starts at zero.

        Args:
            time_constant_s: Time in seconds in which the value falls by a
                factor of e.
        """
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._set_at_s = -math.inf

    @property
    def set_at_s(self) -> float:
        """Monotonic seconds at the last `set`; -inf before the first."""
        return self._set_at_s

    def set(self, now_s: float, value: float) -> None:
        """Replaces the value, which decays from `now_s` on."""
        self._value = value
        self._set_at_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the decayed value at `now_s`, not before the last `set`."""
        if not self._value:
            return 0.0
        return self._value * math.exp(
            (self._set_at_s - now_s) / self._time_constant_s
        )
