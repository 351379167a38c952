"""Slowdown of a backend server relative to its own past.

Detects endpoints that become slow while their reported load stays the same:
without this they keep their share of the requests, all of which end late.
"""

import math

from cranberrymux.decisions.endpoints import decaying_value

SAMPLE_WEIGHT = 0.1  # Weight of one request in the moving average of the ratio.
BASELINE_RISE_TIME_S = 60.0  # Time constant of the baseline while it rises.
# The same while it falls; short, since a backend server is slow after a start
# and those times must not become the baseline.
BASELINE_FALL_TIME_S = 2.0
DECAY_TIME_S = 3.0  # Time constant of the decay towards 1.0 without requests.
_MINIMUM_WORK_TIME_S = 1e-4  # Shorter times count as this: 0 has no logarithm.
_MINIMUM_LOG = math.log(_MINIMUM_WORK_TIME_S)


class Slowness:
    """Ratio of present to usual working times, averaged over all routes.

    The baseline is kept per route. Averages are taken over the logarithms of
    working times, since a few of them are much longer than the others.

    Attributes:
        latest_excess: Logarithm of the ratio at the last `note`, which bounds
            later ones.
    """

    def __init__(self) -> None:
        """Starts without a baseline for any route."""
        self.latest_excess = 0.0
        self._baselines: dict[str, float] = {}
        self._excess = decaying_value.DecayingValue(DECAY_TIME_S)

    def note(self, now_s: float, route: str, worked_s: float) -> float:
        """Adds the working time of one request.

        Args:
            now_s: Monotonic time in seconds.
            route: Name of the request's route.
            worked_s: Working time in seconds, without the time that the
                request waited for calls of its own.

        Returns:
            Logarithm of its ratio to the baseline of its route.
        """
        log_time = (
            math.log(worked_s)
            if worked_s > _MINIMUM_WORK_TIME_S
            else _MINIMUM_LOG
        )
        baseline = self._baselines.get(route, log_time)
        elapsed_s = now_s - self._excess.set_at_s
        old_excess = self._excess.at(now_s)
        log_ratio = log_time - baseline
        excess = old_excess + SAMPLE_WEIGHT * (log_ratio - old_excess)
        self._excess.latest = excess
        self._excess.set_at_s = now_s
        self.latest_excess = excess
        time_constant_s = (
            BASELINE_RISE_TIME_S if excess > 0.0 else BASELINE_FALL_TIME_S
        )
        weight = 1.0 - math.exp(-elapsed_s / time_constant_s)
        self._baselines[route] = baseline + weight * excess
        return log_ratio

    def at(self, now_s: float) -> float:
        """Returns the ratio at `now_s`; 1.0 if as fast as usual or faster."""
        if self.latest_excess <= 0.0:
            return 1.0
        return math.exp(self._excess.at(now_s))
