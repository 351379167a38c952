"""Outcomes of one period."""

from typing import NamedTuple

from cranberrymux.decisions.burn import outcome_series
from cranberrymux.models import answer_kind

# A budget of 30 days has to fit on the disk of a node; shorter periods would
# not tell more, since objectives are evaluated in buckets of this length.
PERIOD_S = outcome_series.BUCKET_S
LATENCY_BOUNDS_MS = (10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000)


class OutcomeCount(NamedTuple):
    """Answers of one kind, to one class of calls, within `PERIOD_S`.

    Attributes:
        begin_s: Begin of the period, Unix seconds.
        service: Service called.
        class_name: Class of the calls.
        kind: What the callers were told.
        latencies: Answers by time taken: one number for each bound of
            `LATENCY_BOUNDS_MS`, of those no longer than it and longer than
            the bound before, and one for those longer than the last bound.
    """

    begin_s: int
    service: str
    class_name: str
    kind: answer_kind.AnswerKind
    latencies: tuple[int, ...]

    @property
    def answers(self) -> int:
        """Answers in all."""
        return sum(self.latencies)

    def answers_within(self, latency_ms: float) -> int:
        """Answers that took no longer than a bound.

        Args:
            latency_ms: The longest time; between two bounds, the lower one
                counts.
        """
        pairs = zip(LATENCY_BOUNDS_MS, self.latencies, strict=False)
        return sum(count for bound, count in pairs if bound <= latency_ms)
