"""Recent failure rate of an endpoint."""

from cranberrymux.decisions.endpoints import decaying_value

SAMPLE_WEIGHT = 0.1  # Weight of one request in the moving average.
DECAY_TIME_S = 3.0  # Time in which an unrenewed rate falls by a factor e.


class FailureRate(decaying_value.DecayingValue):
    """Moving average of failed requests that decays while none ends.

    Because of the decay, an endpoint that gets no more requests on account of
    its failures is tried again. `set` replaces the rate by one, 0 to 1, that
    another node has measured.
    """

    __slots__ = ()

    def __init__(self) -> None:
        """Starts at a rate of 0."""
        super().__init__(DECAY_TIME_S)

    def note(self, now_s: float, is_failed: bool) -> None:
        """Adds one ended request to the moving average."""
        known = self.at(now_s) if self.latest else 0.0
        self.latest = known + SAMPLE_WEIGHT * (is_failed - known)
        self.set_at_s = now_s
