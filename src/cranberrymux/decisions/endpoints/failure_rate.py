"""The share of an endpoint's requests that it failed lately."""

import math

WEIGHT = 0.1  # Weight of one request.
FADE_TIME_S = 3.0  # Time in which a rate that is not renewed falls by e.


class FailureRate:
    """A mean over the last requests that fades while none ends.

    It fades so that an endpoint that gets no more requests because of its
    failures is tried again.
    """

    __slots__ = ("_noted_s", "_rate")

    def __init__(self) -> None:
        """Starts without failures."""
        self._rate = 0.0
        self._noted_s = -math.inf

    def note(self, now_s: float, is_failed: bool) -> None:
        """Takes note of how a request ended."""
        known = self.at(now_s)
        self._rate = known + WEIGHT * (float(is_failed) - known)
        self._noted_s = now_s

    def take(self, now_s: float, rate: float) -> None:
        """Takes over a rate that someone else has counted."""
        self._rate = rate
        self._noted_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the rate now, 0 to 1."""
        if not self._rate:
            return 0.0
        return self._rate * math.exp((self._noted_s - now_s) / FADE_TIME_S)
