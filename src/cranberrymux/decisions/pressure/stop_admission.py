"""Which requests a node still takes while it stops.

A node that stops ends what it has taken, until a fixed time at which the rest
is cut off. The caller of a request that may not be repeated cannot make up for
that, while one that is refused can go elsewhere at once.
"""

import math

# Weight of one request in the fall of the longest time: what took long once is
# remembered over some fifty requests.
FALL_WEIGHT = 0.02
# Part that a request may take longer than the longest before it, and a fixed
# time in which its answer is sent.
MARGIN_RATIO = 0.1
MARGIN_S = 0.1
# Part of the stop after which only the deadline counts: what runs longer than
# usual then has no time left in which it can end all the same.
LATE_RATIO = 0.5
# Routes whose times are remembered; requests of others count as unknown.
MAXIMUM_ROUTES = 4096


class StopAdmission:
    """Admits the requests that can end before a stop does.

    Attributes:
        ends_at_s: Monotonic seconds at which the stop ends; infinity while
            there is none.
    """

    def __init__(self) -> None:
        """Starts without a stop and without known times."""
        self.ends_at_s = math.inf
        self._is_late_from_s = math.inf
        self._longest_s: dict[str, float] = {}

    @property
    def is_stopping(self) -> bool:
        """True from the beginning of the stop on."""
        return self.ends_at_s < math.inf

    def begin(self, now_s: float, stop_s: float) -> None:
        """Begins the stop at a time in monotonic seconds, for `stop_s`."""
        self.ends_at_s = now_s + stop_s
        self._is_late_from_s = now_s + LATE_RATIO * stop_s

    def note_time(self, route: str, taken_s: float, timeout_s: float) -> None:
        """Records the time from the arrival of a request to its answer.

        Args:
            route: Name of its route.
            taken_s: Seconds that it took, or has taken when it was given up.
            timeout_s: Seconds that any request of the route may take. What is
                longer was measured across a pause of the instance.
        """
        taken_s = min(taken_s, timeout_s)
        longest_s = self._longest_s.get(route)
        if longest_s is None:
            if len(self._longest_s) < MAXIMUM_ROUTES:
                self._longest_s[route] = taken_s
        elif taken_s >= longest_s:
            self._longest_s[route] = taken_s
        else:
            self._longest_s[route] -= FALL_WEIGHT * (longest_s - taken_s)

    def admits(self, route: str, now_s: float, deadline_s: float) -> bool:
        """Returns whether a request can end before the stop does.

        Args:
            route: Name of its route.
            now_s: Present time in monotonic seconds.
            deadline_s: Time at which its caller gives up. It alone counts on
                a route that had no request here yet.
        """
        if deadline_s < self.ends_at_s:
            return True
        if now_s >= self._is_late_from_s:
            return False
        longest_s = self._longest_s.get(route)
        if longest_s is None:
            return False
        expected_s = (1.0 + MARGIN_RATIO) * longest_s + MARGIN_S
        return now_s + expected_s < self.ends_at_s
