"""Finds out by trial whether excess concurrency causes high latency."""

import enum

SLOW_RATIO = 2.5  # Latency over the baseline that warrants a trial cut.
IMPROVED_RATIO = 0.9  # Latency after a helpful cut over that before, at most.
BASELINE_DRIFT = 0.02  # Weight of a higher mean in the baseline.
MIXED_MEAN_RATIO = 2.0  # Real latency over a first high mean, at most.
SAMPLES_PER_CALL = 2  # Answers per call of the limit for one judgement.
MINIMUM_SAMPLES = 16


class Advice(enum.Enum):
    """How the concurrency limit should change.

    Attributes:
        KEEP: Too few answers, or no conclusion yet.
        GROW: Latency is normal, or a cut is not allowed now.
        CUT: Latency is high; lower the limit on trial.
        REOPEN: The cut did not shorten latency, so the backend server itself
            has become slower; restore the limit.
    """

    KEEP = "keep"
    GROW = "grow"
    CUT = "cut"
    REOPEN = "reopen"


class LatencyProbe:
    """Compares mean latency before and after a cut of the limit.

    A backend server that really runs fewer calls at once than it announces
    answers faster after a cut. One that is slow for another reason does not,
    and a lower limit would only leave its slots idle.
    """

    def __init__(self) -> None:
        """Starts without a baseline latency."""
        self._baseline_s = 0.0
        self._mean_before_cut_s = 0.0
        self._total_s = 0.0
        self._count = 0
        self._skip_count = 0
        self._is_slow = False

    @property
    def baseline_s(self) -> float:
        """Baseline latency in seconds; 0.0 before the first judgement."""
        return self._baseline_s

    def record(self, own_s: float) -> None:
        """Records the latency of one answer, less its downstream calls."""
        if self._skip_count:
            self._skip_count -= 1
            return
        self._total_s += own_s
        self._count += 1

    def evaluate(
        self,
        limit: int,
        may_cut: bool = True,
        maximum_latency_s: float = float("inf"),
    ) -> Advice:
        """Compares mean latency with the baseline once there is enough data.

        Args:
            limit: Number of calls that may run at once.
            may_cut: True if the limit was reached in the last window and a cut
                would leave enough slots for the most important class.
            maximum_latency_s: Latency, in seconds, at or above which a cut
                would not leave enough slots for that class.
        """
        if self._count < max(SAMPLES_PER_CALL * limit, MINIMUM_SAMPLES):
            return Advice.KEEP
        mean_s = self._total_s / self._count
        self._total_s = 0.0
        self._count = 0
        if self._mean_before_cut_s:
            return self._judge_cut(mean_s, limit, maximum_latency_s)
        self._update_baseline(mean_s)
        was_slow = self._is_slow
        self._is_slow = mean_s > SLOW_RATIO * self._baseline_s
        if not self._is_slow or not may_cut or mean_s >= maximum_latency_s:
            return Advice.GROW
        if not was_slow and mean_s * MIXED_MEAN_RATIO >= maximum_latency_s:
            # The mean may include calls from before latency rose.
            return Advice.KEEP
        return self._begin_cut(mean_s, limit)

    def _judge_cut(
        self, mean_s: float, limit: int, maximum_latency_s: float
    ) -> Advice:
        has_helped = mean_s <= IMPROVED_RATIO * self._mean_before_cut_s
        self._mean_before_cut_s = 0.0
        if not has_helped:
            self._baseline_s = mean_s
            return Advice.REOPEN
        is_slow = mean_s > SLOW_RATIO * self._baseline_s
        if is_slow and mean_s < maximum_latency_s:
            return self._begin_cut(mean_s, limit)
        return Advice.KEEP

    def _begin_cut(self, mean_s: float, limit: int) -> Advice:
        self._mean_before_cut_s = mean_s
        self._skip_count = limit  # Started before the cut.
        return Advice.CUT

    def _update_baseline(self, mean_s: float) -> None:
        if self._baseline_s == 0.0 or mean_s < self._baseline_s:
            self._baseline_s = mean_s
        self._baseline_s += BASELINE_DRIFT * (mean_s - self._baseline_s)
