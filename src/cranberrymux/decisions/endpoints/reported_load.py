"""The number of requests at an endpoint, as its node reports it."""

import math

LOAD_REPORT_LIFETIME_S = 0.5  # Age from which a load report has no weight.
# Time constant of the mean. Reports of several nodes that all act on them
# oscillate if they are followed faster than they arrive.
MEAN_TIME_S = 1.0
# Age up to which the last report counts beside the mean.
LAST_LIFETIME_S = 0.2
MEAN_LIFETIME_S = 5.0  # Age of the last report at which the mean has no weight.


class ReportedLoad:
    """Estimates the requests at an endpoint from reports of some age.

    Attributes:
        reported_at_s: Monotonic seconds of the last report; -inf before it.
    """

    __slots__ = ("_mean", "_requests", "reported_at_s")

    def __init__(self) -> None:
        """Starts without reports, at zero."""
        self._requests = 0.0
        self._mean = 0.0
        self.reported_at_s = -math.inf

    def note(self, now_s: float, requests: int) -> None:
        """Stores a report.

        Args:
            now_s: Monotonic time in seconds.
            requests: Requests that run or wait at the endpoint.
        """
        age_s = now_s - self.reported_at_s
        weight = 1.0
        if age_s < 0.0:
            weight = 0.0
        elif age_s < MEAN_LIFETIME_S:
            weight = age_s / (age_s + MEAN_TIME_S)
        self._mean += weight * (requests - self._mean)
        self._requests = requests
        self.reported_at_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the last report, which loses weight linearly."""
        age_s = now_s - self.reported_at_s
        if age_s >= LOAD_REPORT_LIFETIME_S:
            return 0.0
        return self._requests * (1.0 - age_s / LOAD_REPORT_LIFETIME_S)

    def expected(self, now_s: float) -> float:
        """Returns the number expected from the last report and the mean."""
        age_s = now_s - self.reported_at_s
        if age_s >= MEAN_LIFETIME_S:
            return 0.0
        expected = self._mean
        if age_s < LAST_LIFETIME_S:
            weight = 1.0 - age_s / LAST_LIFETIME_S
            expected += weight * (self._requests - self._mean)
        return expected * (1.0 - age_s / MEAN_LIFETIME_S)
