"""Exponential decay of a value between updates."""

import math


class FadingValue:
    """A value that decays exponentially towards zero until it is set again."""

    __slots__ = ("_fade_s", "_set_s", "_value")

    def __init__(self, fade_s: float) -> None:
        """Starts at zero.

        Args:
            fade_s: Time constant in seconds: the value falls by a factor of e
                in this time.
        """
        self._fade_s = fade_s
        self._value = 0.0
        self._set_s = -math.inf

    @property
    def set_s(self) -> float:
        """Monotonic seconds at the last `set`; -inf before the first."""
        return self._set_s

    def set(self, now_s: float, value: float) -> None:
        """Replaces the value, which decays from `now_s` on."""
        self._value = value
        self._set_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the decayed value at `now_s`, not before the last `set`."""
        if not self._value:
            return 0.0
        return self._value * math.exp((self._set_s - now_s) / self._fade_s)
