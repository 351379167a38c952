"""Counts of call outcomes in one period."""

from typing import NamedTuple

from cranberrymux.decisions.burn import outcome_series
from cranberrymux.models import answer_kind

# The outcomes of a 30-day error budget have to fit on the disk of a node.
# Shorter periods would add no detail, since objectives are evaluated in buckets
# of this length.
PERIOD_S = outcome_series.BUCKET_S
LATENCY_BOUNDS_MS = (10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000)


class OutcomeCount(NamedTuple):
    """Answers of one kind to one class of calls, in a period of `PERIOD_S`.

    Attributes:
        begin_s: Start of the period, Unix time in seconds.
        service: Name of the called service.
        class_name: Name of the request class of the calls.
        kind: Kind of answer that the callers received.
        latencies: Histogram of latencies: for each of `LATENCY_BOUNDS_MS`, the
            number of answers that took no longer than it and longer than the
            bound before, then the number that took longer than the last.
    """

    begin_s: int
    service: str
    class_name: str
    kind: answer_kind.AnswerKind
    latencies: tuple[int, ...]

    @property
    def answers(self) -> int:
        """Number of answers of any latency."""
        return sum(self.latencies)

    def answers_within(self, latency_ms: float) -> int:
        """Returns the number of answers that took no longer than a bound.

        Args:
            latency_ms: Largest latency. Between two of `LATENCY_BOUNDS_MS`, the
                lower one is used.
        """
        pairs = zip(LATENCY_BOUNDS_MS, self.latencies, strict=False)
        return sum(count for bound, count in pairs if bound <= latency_ms)
