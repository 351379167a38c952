"""How much longer a backend server works than it used to.

Answers the pattern in which some endpoints of a service turn slow while
their load looks the same: they keep their share of the work, and whatever
goes there is late.
"""

import math

from cranberrymux.decisions.endpoints import fading_value

WEIGHT = 0.1  # Weight of one request in the ratio.
RISE_TIME_S = 60.0  # Time in which what is usual takes up a change, rising.
FALL_TIME_S = 2.0  # The same, falling: a backend server is slow at first.
FADE_TIME_S = 3.0  # Time in which a ratio that is not renewed falls by e.
_SHORTEST_S = 1e-4


class Slowness:
    """Ratio of present to usual working times, over all routes.

    Working times are averaged by their logarithms, since a few of them are
    much longer than the others.
    """

    def __init__(self) -> None:
        """Starts with nothing that is usual."""
        self._usual: dict[str, float] = {}
        self._excess = fading_value.FadingValue(FADE_TIME_S)

    def note(self, now_s: float, route: str, worked_s: float) -> None:
        """Takes the time that a request was worked on.

        Args:
            now_s: Present time.
            route: Its route.
            worked_s: Without the time that it waited for its own calls.
        """
        level = math.log(max(worked_s, _SHORTEST_S))
        usual = self._usual.get(route, level)
        span_s = now_s - self._excess.set_s
        known = self._excess.at(now_s)
        excess = known + WEIGHT * (level - usual - known)
        self._excess.set(now_s, excess)
        time_s = RISE_TIME_S if excess > 0.0 else FALL_TIME_S
        weight = 1.0 - math.exp(-span_s / time_s)
        self._usual[route] = usual + weight * excess

    def at(self, now_s: float) -> float:
        """Returns the ratio now, 1.0 if it is as usual or faster."""
        return math.exp(max(0.0, self._excess.at(now_s)))
