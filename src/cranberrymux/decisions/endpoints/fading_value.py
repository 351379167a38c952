"""A value that fades towards zero while it is not renewed."""

import math


class FadingValue:
    """Falls by a factor of e in a given time."""

    __slots__ = ("_fade_s", "_set_s", "_value")

    def __init__(self, fade_s: float) -> None:
        """Starts at zero.

        Args:
            fade_s: Time in which it falls by a factor of e.
        """
        self._fade_s = fade_s
        self._value = 0.0
        self._set_s = -math.inf

    @property
    def set_s(self) -> float:
        """When it was set last; before all time if it never was."""
        return self._set_s

    def set(self, now_s: float, value: float) -> None:
        """Renews it."""
        self._value = value
        self._set_s = now_s

    def at(self, now_s: float) -> float:
        """Returns what is left of it now."""
        if not self._value:
            return 0.0
        return self._value * math.exp((self._set_s - now_s) / self._fade_s)
