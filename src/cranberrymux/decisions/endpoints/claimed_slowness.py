"""The slowness of its machine that a backend server names, and its worth.

A backend server knows at once that its machine is slow, while working times
show it only after many requests. But what it says may be false. It counts only
as far as working times have changed together with it, and only in comparison
with what it usually says, which the usual working time already contains.
"""

import math

SAMPLE_WEIGHT = 0.01  # Weight of one request in the means.
# Age at which a figure has no weight. Machines become slow and fast again
# several times a second.
LIFETIME_S = 0.3
MAXIMUM_RATIO = 4.0  # Bounds the effect of a figure, in both directions.
_MAXIMUM_LOG = math.log(MAXIMUM_RATIO)
# Figures are bounded to these logarithms before they enter the means.
_MAXIMUM_CLAIM_LOG = math.log(20.0)
# Variance that figures must clearly exceed before they count.
_MINIMUM_VARIANCE = 0.01


class ClaimedSlowness:
    """Regression of working times on the slowness named, both as logarithms.

    Attributes:
        claimed_at_s: Monotonic seconds of the last figure; -inf before it.
    """

    __slots__ = (
        "_claim_log",
        "_covariance",
        "_mean_claim",
        "_mean_work",
        "_samples",
        "_variance",
        "claimed_at_s",
    )

    def __init__(self) -> None:
        """Starts without figures; the first ones have no effect."""
        self._claim_log = 0.0
        self.claimed_at_s = -math.inf
        self._samples = 0
        self._mean_claim = 0.0
        self._mean_work = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    @property
    def credibility(self) -> float:
        """Share of the figures' changes that working times confirm, 0 to 1."""
        share = self._covariance / (self._variance + _MINIMUM_VARIANCE)
        return min(max(share, 0.0), 1.0)

    def note_claim(self, now_s: float, slowness: float) -> None:
        """Stores the figure of an answer.

        Args:
            now_s: Monotonic time in seconds.
            slowness: Ratio of the present to the usual time of work, above 0.
        """
        log = math.log(slowness)
        self._claim_log = min(max(log, -_MAXIMUM_CLAIM_LOG), _MAXIMUM_CLAIM_LOG)
        self.claimed_at_s = now_s

    def note_work(self, now_s: float, log_ratio: float) -> None:
        """Compares a working time with the figure that came with its answer.

        Args:
            now_s: Monotonic time in seconds.
            log_ratio: Logarithm of the ratio of the working time to the usual
                one of its route.
        """
        if now_s - self.claimed_at_s > LIFETIME_S:
            return
        self._samples += 1
        weight = max(1.0 / self._samples, SAMPLE_WEIGHT)
        claim = self._claim_log - self._mean_claim
        work = log_ratio - self._mean_work
        self._mean_claim += weight * claim
        self._mean_work += weight * work
        kept = 1.0 - weight
        self._variance = kept * (self._variance + weight * claim * claim)
        self._covariance = kept * (self._covariance + weight * claim * work)

    def at(self, now_s: float) -> float:
        """Returns the ratio of present to usual working times, around 1.0."""
        freshness = 1.0 - (now_s - self.claimed_at_s) / LIFETIME_S
        if freshness <= 0.0:
            return 1.0
        log = self.credibility * (self._claim_log - self._mean_claim)
        log = min(max(log, -_MAXIMUM_LOG), _MAXIMUM_LOG)
        return math.exp(freshness * log)
