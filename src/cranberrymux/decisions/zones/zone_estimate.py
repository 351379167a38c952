"""What answers of a zone's endpoints tell of their cost and latency."""

import math

SMOOTHING_S = 0.2  # Time constant of the mean of the costs.
# Age of the last answer from which the estimate fades, and at which it is
# gone. Reports of endpoints expire earlier; if the estimate followed them, a
# zone that gets few requests would look emptier than the own zone.
FRESH_S = 0.5
FORGOTTEN_S = 2.5
LATENCY_WINDOW_S = 10.0
LATENCY_ANSWERS = 20  # Answers from which the shortest one is used.


class ZoneEstimate:
    """Smoothed cost and shortest answer time of a zone's endpoints."""

    __slots__ = (
        "_answers",
        "_cost",
        "_noted_at_s",
        "_previous_minimum_s",
        "_minimum_s",
        "_window_began_s",
    )

    def __init__(self) -> None:
        """Starts without answers."""
        self._cost = 0.0
        self._noted_at_s = -math.inf
        self._answers = 0
        self._minimum_s = math.inf
        self._previous_minimum_s = math.inf
        self._window_began_s = -math.inf

    def note_cost(self, now_s: float, cost: float) -> None:
        """Adds the cost of an endpoint right after its answer."""
        weight = -math.expm1((self._noted_at_s - now_s) / SMOOTHING_S)
        self._cost += weight * (cost - self._cost)
        self._noted_at_s = now_s

    def note_answer_time(self, now_s: float, answer_s: float) -> None:
        """Adds the seconds from sending a request to its answer."""
        self._answers += 1
        if now_s - self._window_began_s >= LATENCY_WINDOW_S:
            self._window_began_s = now_s
            self._previous_minimum_s = self._minimum_s
            self._minimum_s = math.inf
        self._minimum_s = min(self._minimum_s, answer_s)

    def cost(self, now_s: float, current: float) -> float:
        """Returns the expected cost of one more request.

        Args:
            now_s: Monotonic time in seconds.
            current: Cost by what is known of the single endpoints.
        """
        if current >= self._cost:
            return current
        age_s = now_s - self._noted_at_s
        weight = (FORGOTTEN_S - age_s) / (FORGOTTEN_S - FRESH_S)
        weight = min(max(weight, 0.0), 1.0)
        return current + weight * (self._cost - current)

    @property
    def shortest_answer_s(self) -> float | None:
        """Shortest time to an answer of late; None with too few answers."""
        if self._answers < LATENCY_ANSWERS:
            return None
        return min(self._minimum_s, self._previous_minimum_s)
