"""Tells whether high latency comes from too many calls at once."""

import enum

SLOW_RATIO = 2.5  # Latency over the best that raises the question.
ANSWERING_RATIO = 0.9  # Latency after a cut that says yes.
BEST_DRIFT = 0.02  # Part of the difference by which the best rises.
MIXED_RATIO = 2.0  # Latency may be this much over a first high mean.
SAMPLES_PER_SLOT = 2  # Answers per slot that make one judgement.
MINIMUM_SAMPLES = 16


class Advice(enum.Enum):
    """What the limit should do.

    Attributes:
        KEEP: Nothing new is known.
        GROW: Latency is good.
        CUT: Latency is high; try fewer calls at once.
        REOPEN: Fewer calls did not help; the service itself is slower.
    """

    KEEP = "keep"
    GROW = "grow"
    CUT = "cut"
    REOPEN = "reopen"


class LatencyProbe:
    """Compares latency before and after a cut of the limit.

    A backend server that runs fewer calls at once than it says answers faster
    after a cut. One that is slow for its own reasons does not, and a lower
    limit would only waste its slots.
    """

    def __init__(self) -> None:
        """Starts without a best latency."""
        self._best_s = 0.0
        self._before_s = 0.0
        self._total_s = 0.0
        self._count = 0
        self._skip = 0
        self._is_slow = False

    @property
    def best_s(self) -> float:
        """Latency in seconds that counts as good; 0.0 before any."""
        return self._best_s

    def count(self, own_s: float) -> None:
        """Counts the latency of one answer, without deeper calls."""
        if self._skip:
            self._skip -= 1
            return
        self._total_s += own_s
        self._count += 1

    def judge(
        self,
        limit: int,
        may_cut: bool = True,
        longest_s: float = float("inf"),
    ) -> Advice:
        """Judges once there are enough answers.

        Args:
            limit: Calls that may run at once.
            may_cut: True if as many ran lately, and a cut would leave room
                for the most important calls.
            longest_s: Latency above which a cut would leave no such room.
        """
        if self._count < max(SAMPLES_PER_SLOT * limit, MINIMUM_SAMPLES):
            return Advice.KEEP
        mean_s = self._total_s / self._count
        self._total_s = 0.0
        self._count = 0
        if self._before_s:
            return self._judge_cut(mean_s, limit, longest_s)
        self._learn_best(mean_s)
        was_slow = self._is_slow
        self._is_slow = mean_s > SLOW_RATIO * self._best_s
        if not self._is_slow or not may_cut or mean_s >= longest_s:
            return Advice.GROW
        if not was_slow and mean_s * MIXED_RATIO >= longest_s:
            # The mean may still mix calls from before the change.
            return Advice.KEEP
        return self._begin_cut(mean_s, limit)

    def _judge_cut(self, mean_s: float, limit: int, longest_s: float) -> Advice:
        helped = mean_s <= ANSWERING_RATIO * self._before_s
        self._before_s = 0.0
        if not helped:
            self._best_s = mean_s
            return Advice.REOPEN
        is_slow = mean_s > SLOW_RATIO * self._best_s
        if is_slow and mean_s < longest_s:
            return self._begin_cut(mean_s, limit)
        return Advice.KEEP

    def _begin_cut(self, mean_s: float, limit: int) -> Advice:
        self._before_s = mean_s
        self._skip = limit  # These started under the limit before the cut.
        return Advice.CUT

    def _learn_best(self, mean_s: float) -> None:
        if self._best_s == 0.0 or mean_s < self._best_s:
            self._best_s = mean_s
        self._best_s += BEST_DRIFT * (mean_s - self._best_s)
