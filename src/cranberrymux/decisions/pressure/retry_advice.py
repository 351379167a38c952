"""Recognizes client retries and advises refused clients when to retry.

On its first attempt a client allows its full timeout, on a retry less.
Clients are told to retry early enough for an answer of full value, at times
that are spread out, so that the retries do not arrive together.
"""

import math
import random

from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)

BUCKET_RATIO = 0.02  # Relative width of a bucket of client timeouts.
BUCKET_DECAY_FACTOR = 0.99
# A request is a retry if its time is shorter than usual by more than this part.
RETRY_TOLERANCE_RATIO = 0.03
LATENCY_WEIGHT = 0.05
MINIMUM_DELAY_RATIO = 0.3  # Shortest delay over the longest.
TIME_LEFT_RATIO = 0.3  # Longest delay over the time that the client has.
MINIMUM_DELAY_S = 0.05
_Timing = traffic_class_module.AttemptTiming


class RetryAdvice:
    """What is known of the clients of one route."""

    def __init__(self, objective_s: float) -> None:
        """Starts without observations.

        Args:
            objective_s: Seconds since the first attempt within which an answer
                has its full value.
        """
        self._objective_s = objective_s
        self._counts: dict[int, float] = {}
        self._usual_timeout_s = 0.0
        self._latency_s = 0.0

    def note_latency(self, latency_s: float) -> None:
        """Records the time from the start of a request to its answer."""
        mean_s = self._latency_s or latency_s
        self._latency_s = mean_s + LATENCY_WEIGHT * (latency_s - mean_s)

    def note_arrival(self, left_s: float) -> None:
        """Records the time that a client allows, and updates the usual one."""
        bucket = round(math.log(max(left_s, 1e-3)) / BUCKET_RATIO)
        for key in list(self._counts):
            self._counts[key] *= BUCKET_DECAY_FACTOR
            if self._counts[key] < BUCKET_RATIO:
                del self._counts[key]
        self._counts[bucket] = self._counts.get(bucket, 0.0) + 1.0
        usual_bucket = max(self._counts, key=lambda key: self._counts[key])
        self._usual_timeout_s = math.exp(usual_bucket * BUCKET_RATIO)

    def classify_attempt(
        self, left_s: float
    ) -> traffic_class_module.AttemptTiming:
        """Tells a first attempt from a retry by the time left."""
        elapsed_s = self._usual_timeout_s - left_s
        if elapsed_s <= RETRY_TOLERANCE_RATIO * self._usual_timeout_s:
            return _Timing.FIRST
        if elapsed_s + self._latency_s <= self._objective_s:
            return _Timing.RETRY_IN_TIME
        return _Timing.RETRY_LATE

    def draw_delay_s(self, left_s: float, generator: random.Random) -> float:
        """Draws the delay, in seconds, after which a refused client retries."""
        elapsed_s = max(self._usual_timeout_s - left_s, 0.0)
        maximum_s = self._objective_s - elapsed_s - self._latency_s
        maximum_s = min(maximum_s, TIME_LEFT_RATIO * left_s)
        if maximum_s < MINIMUM_DELAY_S:
            maximum_s = TIME_LEFT_RATIO * left_s
        delay_s = generator.uniform(MINIMUM_DELAY_RATIO * maximum_s, maximum_s)
        return max(delay_s, MINIMUM_DELAY_S)
