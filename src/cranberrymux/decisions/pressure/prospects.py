"""Which trees are worth beginning, by how the last ones of their route ended.

Answers the pattern in which a deep service refuses or fails a large part of
its calls though it has room: trees that need many of them fail nearly always,
each after work was spent on it, and their callers come back at once. Refused
at their beginning, they come back when they are told to.
"""

import math

WEIGHT = 0.1  # Weight of one tree in the share that ends well.
# A route whose trees end well at least so often is not held back.
GOOD_SHARE = 0.3
# However bad it looks, so large a part begins, and one tree in so long a time,
# to learn of a turn.
LEAST_CHANCE = 0.1
PROBE_S = 0.7
FADE_TIME_S = 60.0  # Time in which bad news that is not renewed fades by e.


class Prospects:
    """The share of trees that ended well, for each route."""

    def __init__(self) -> None:
        """Starts with good prospects."""
        self._failing: dict[str, tuple[float, float]] = {}
        self._credits: dict[str, tuple[float, float]] = {}

    def admits(self, now_s: float, route: str) -> bool:
        """Decides on a tree of a route."""
        chance = self.chance(now_s, route)
        if chance >= 1.0:
            return True
        credit, at_s = self._credits.get(route, (0.0, now_s))
        credit += chance + (now_s - at_s) / PROBE_S
        may_begin = credit >= 1.0
        credit = min(credit, 2.0) - may_begin
        self._credits[route] = (credit, now_s)
        return may_begin

    def note(self, now_s: float, route: str, is_whole: bool) -> None:
        """Takes note of how a tree ended.

        Args:
            now_s: Present time.
            route: Its route.
            is_whole: True if it ended well, False if a call of it failed or
                its time ran out.
        """
        known = self._failing_at(now_s, route)
        failed = 0.0 if is_whole else 1.0
        self._failing[route] = (known + WEIGHT * (failed - known), now_s)

    def chance(self, now_s: float, route: str) -> float:
        """Part of the trees of a route that should begin."""
        ended_well = 1.0 - self._failing_at(now_s, route)
        return min(1.0, max(LEAST_CHANCE, ended_well / GOOD_SHARE))

    def _failing_at(self, now_s: float, route: str) -> float:
        failing, noted_s = self._failing.get(route, (0.0, now_s))
        return failing * math.exp((noted_s - now_s) / FADE_TIME_S)
