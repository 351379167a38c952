"""Counts the outcomes of one kind of request."""

import collections
import math

from cranberrymux.load import latency_histogram
from cranberrymux.load import outcome
from cranberrymux.load import outcome_kind
from cranberrymux.load import report

_Kind = outcome_kind.OutcomeKind


class Recorder:
    """Outcomes, goodput and latencies."""

    def __init__(self) -> None:
        """Starts empty."""
        self._sent = 0
        self._attempts = 0
        self._attempts_max = 0
        self._done_late = 0
        self._outcomes: collections.Counter[outcome_kind.OutcomeKind] = (
            collections.Counter()
        )
        self._reasons: collections.Counter[str] = collections.Counter()
        self._goodput: collections.Counter[int] = collections.Counter()
        self._latency = latency_histogram.LatencyHistogram()
        self._wire = latency_histogram.LatencyHistogram()
        self._refusal = latency_histogram.LatencyHistogram()

    def count_sent(self) -> None:
        """Counts a request begun."""
        self._sent += 1

    def count_refusal(self, wire_s: float) -> None:
        """Records how soon an attempt was refused, in seconds."""
        self._refusal.record(wire_s)

    def count_done(
        self, finished_s: float, latency_s: float, wire_s: float, is_late: bool
    ) -> None:
        """Records the times of a request that is done.

        Args:
            finished_s: Seconds since the start of the load.
            latency_s: Seconds since the intended start of the request.
            wire_s: Seconds since the last attempt was written.
            is_late: True if it came after the timeout.
        """
        self._latency.record(latency_s)
        self._wire.record(wire_s)
        if is_late:
            self._done_late += 1
        else:
            self._goodput[int(finished_s)] += 1

    def count_outcome(self, result: outcome.Outcome, attempts: int) -> None:
        """Counts the end of a request.

        Args:
            result: The outcome of its last attempt.
            attempts: Attempts made, 1 or more.
        """
        self._outcomes[result.kind] += 1
        self._attempts += attempts
        self._attempts_max = max(self._attempts_max, attempts)
        if result.kind is not _Kind.DONE:
            self._reasons[result.reason] += 1

    def add(self, other: "Recorder") -> None:
        """Adds all that another recorder holds."""
        self._sent += other._sent
        self._attempts += other._attempts
        self._attempts_max = max(self._attempts_max, other._attempts_max)
        self._done_late += other._done_late
        self._outcomes.update(other._outcomes)
        self._reasons.update(other._reasons)
        self._goodput.update(other._goodput)
        self._latency.add(other._latency)
        self._wire.add(other._wire)
        self._refusal.add(other._refusal)

    def report(self, seconds: float) -> report.KindReport:
        """Gives the counts and percentiles.

        Args:
            seconds: Length of the load, which the goodput covers at least.
        """
        last_second = max(self._goodput, default=-1)
        covered = max(math.ceil(seconds), last_second + 1)
        ended = sum(self._outcomes.values())
        return report.KindReport(
            sent=self._sent,
            done=self._outcomes[_Kind.DONE],
            failed=self._outcomes[_Kind.FAILED],
            not_run=self._outcomes[_Kind.NOT_RUN],
            unknown=self._outcomes[_Kind.UNKNOWN],
            wrong=self._outcomes[_Kind.WRONG],
            cut=self._outcomes[_Kind.CUT],
            hung_up=self._outcomes[_Kind.HUNG_UP],
            done_late=self._done_late,
            attempts=self._attempts,
            attempts_per_request=round(self._attempts / max(1, ended), 4),
            attempts_max=self._attempts_max,
            reasons=dict(sorted(self._reasons.items())),
            goodput=[self._goodput[second] for second in range(covered)],
            latency_ms=self._latency.report(),
            wire_ms=self._wire.report(),
            refusal_ms=self._refusal.report(),
        )
