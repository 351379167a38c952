"""Recent failure rate of an endpoint."""

from cranberrymux.decisions.endpoints import decaying_value

SAMPLE_WEIGHT = 0.1  # Weight of one request in the moving average.
DECAY_TIME_S = 3.0  # Time in which an unrenewed rate falls by a factor e.


class FailureRate:
    """Moving average of failed requests that decays while none ends.

    Because of the decay, an endpoint that gets no more requests on account of
    its failures is tried again.
    """

    __slots__ = ("_rate",)

    def __init__(self) -> None:
        """Starts at a rate of 0."""
        self._rate = decaying_value.DecayingValue(DECAY_TIME_S)

    def note(self, now_s: float, is_failed: bool) -> None:
        """Adds one ended request to the moving average."""
        known = self.at(now_s)
        self.set(now_s, known + SAMPLE_WEIGHT * (float(is_failed) - known))

    def set(self, now_s: float, rate: float) -> None:
        """Replaces the rate by one, 0 to 1, that another node has measured."""
        self._rate.set(now_s, rate)

    def at(self, now_s: float) -> float:
        """Returns the rate at `now_s`, 0 to 1."""
        return self._rate.at(now_s)
