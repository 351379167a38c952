"""The share of an endpoint's requests that it failed lately."""

from cranberrymux.decisions.endpoints import fading_value

WEIGHT = 0.1  # Weight of one request.
FADE_TIME_S = 3.0  # Time in which a rate that is not renewed falls by e.


class FailureRate:
    """A mean over the last requests that fades while none ends.

    It fades so that an endpoint that gets no more requests because of its
    failures is tried again.
    """

    __slots__ = ("_rate",)

    def __init__(self) -> None:
        """Starts without failures."""
        self._rate = fading_value.FadingValue(FADE_TIME_S)

    def note(self, now_s: float, is_failed: bool) -> None:
        """Takes note of how a request ended."""
        known = self.at(now_s)
        self.take(now_s, known + WEIGHT * (float(is_failed) - known))

    def take(self, now_s: float, rate: float) -> None:
        """Takes over a rate that someone else has counted."""
        self._rate.set(now_s, rate)

    def at(self, now_s: float) -> float:
        """Returns the rate now, 0 to 1."""
        return self._rate.at(now_s)
