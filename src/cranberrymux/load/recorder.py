"""Records the outcomes and latencies of one kind of request."""

import collections
import math

from cranberrymux.load import latency_histogram
from cranberrymux.load import outcome
from cranberrymux.load import outcome_kind
from cranberrymux.load import report

_Kind = outcome_kind.OutcomeKind


class Recorder:
    """Accumulates outcomes, goodput and latencies for a report."""

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
        """Counts a request whose first attempt is about to be sent."""
        self._sent += 1

    def count_refusal(self, wire_s: float) -> None:
        """Records an attempt that was refused by a response.

        Args:
            wire_s: Seconds from the write of the attempt to the refusal.
        """
        self._refusal.record(wire_s)

    def count_done(
        self, finished_s: float, latency_s: float, wire_s: float, is_late: bool
    ) -> None:
        """Records the latencies of a request that succeeded.

        Args:
            finished_s: Seconds from the start of the load to the response.
            latency_s: Seconds from the scheduled arrival of the request to the
                response.
            wire_s: Seconds from the write of the last attempt to the response.
            is_late: True if the response came after the timeout; it then does
                not count as goodput.
        """
        self._latency.record(latency_s)
        self._wire.record(wire_s)
        if is_late:
            self._done_late += 1
        else:
            self._goodput[int(finished_s)] += 1

    def count_outcome(self, result: outcome.Outcome, attempts: int) -> None:
        """Counts a request that has ended.

        Args:
            result: The outcome of its last attempt.
            attempts: Number of attempts made, 1 or more.
        """
        self._outcomes[result.kind] += 1
        self._attempts += attempts
        self._attempts_max = max(self._attempts_max, attempts)
        if result.kind is not _Kind.DONE:
            self._reasons[result.reason] += 1

    def add(self, other: "Recorder") -> None:
        """Adds the values of another recorder to this one."""
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
        """Returns the counts, the goodput and the latencies.

        Args:
            seconds: Duration of the load in seconds. The goodput covers it,
                and later seconds up to the last success.
        """
        last_second = max(self._goodput, default=-1)
        goodput_seconds = max(math.ceil(seconds), last_second + 1)
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
            goodput=[
                self._goodput[second] for second in range(goodput_seconds)
            ],
            latency_ms=self._latency.report(),
            wire_ms=self._wire.report(),
            refusal_ms=self._refusal.report(),
        )
