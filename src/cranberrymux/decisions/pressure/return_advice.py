"""Who has come back after a refusal, and when a refused caller should.

A first attempt has the whole time that its client allows; one that comes back
has less. Callers are asked back early enough that an answer still has its full
worth, and spread over that time, so that they do not meet.
"""

import math
import random

from cranberrymux.decisions.pressure import root_admission

BUCKET_RATIO = 0.02  # Relative width of the buckets of allowed times.
BUCKET_DECAY = 0.99
RETURN_TOLERANCE = 0.03  # Less time than usual by more than this: returned.
LATENCY_WEIGHT = 0.05
EARLIEST_PART = 0.3  # Of the longest wait that is advised.
LATE_PART = 0.3  # Of the time left, if no full worth can be had.
SHORTEST_S = 0.05
_Turn = root_admission.Turn


class ReturnAdvice:
    """What is learned of the clients of one route."""

    def __init__(self, objective_s: float) -> None:
        """Starts without experience.

        Args:
            objective_s: Time within which an answer has its full worth.
        """
        self._objective_s = objective_s
        self._counts: dict[int, float] = {}
        self._whole_s = 0.0
        self._latency_s = 0.0

    def note_latency(self, latency_s: float) -> None:
        """Takes the time that a request took from begin to answer."""
        known = self._latency_s or latency_s
        self._latency_s = known + LATENCY_WEIGHT * (latency_s - known)

    def note_arrival(self, left_s: float) -> None:
        """Takes the time that a client allows."""
        bucket = round(math.log(max(left_s, 1e-3)) / BUCKET_RATIO)
        for one in list(self._counts):
            self._counts[one] *= BUCKET_DECAY
            if self._counts[one] < BUCKET_RATIO:
                del self._counts[one]
        self._counts[bucket] = self._counts.get(bucket, 0.0) + 1.0
        usual = max(self._counts, key=lambda one: self._counts[one])
        self._whole_s = math.exp(usual * BUCKET_RATIO)

    def turn_of(self, left_s: float) -> root_admission.Turn:
        """Tells a first attempt from one that came back."""
        elapsed_s = self._whole_s - left_s
        if elapsed_s <= RETURN_TOLERANCE * self._whole_s:
            return _Turn.FIRST
        if elapsed_s + self._latency_s <= self._objective_s:
            return _Turn.RETURNED_IN_TIME
        return _Turn.RETURNED_LATE

    def wait_s(self, left_s: float, generator: random.Random) -> float:
        """Draws when a refused caller should come back."""
        elapsed_s = max(self._whole_s - left_s, 0.0)
        longest_s = self._objective_s - elapsed_s - self._latency_s
        longest_s = min(longest_s, LATE_PART * left_s)
        if longest_s < SHORTEST_S:
            longest_s = LATE_PART * left_s
        wait_s = generator.uniform(EARLIEST_PART * longest_s, longest_s)
        return max(wait_s, SHORTEST_S)
