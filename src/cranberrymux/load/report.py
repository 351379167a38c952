"""The shape of the report of a load."""

from typing import TypedDict


class LatencyReport(TypedDict):
    """Latencies in milliseconds; zeros if nothing was recorded.

    Attributes:
        count: Values recorded.
        mean: Arithmetic mean.
        p50: Half of the values are no longer than this.
        p99: 99 in 100 are no longer than this.
        p99_9: 999 in 1000 are no longer than this.
        max: The longest.
    """

    count: int
    mean: float
    p50: float
    p99: float
    p99_9: float
    max: float


class KindReport(TypedDict):
    """What came of one kind of request.

    Attributes:
        sent: Requests begun. The outcomes below add up to it.
        done: Whole, own answers.
        failed: Run, and failed.
        not_run: Proven not run.
        unknown: May have run.
        wrong: Answers of another request, or not answers.
        cut: Answers that were not whole.
        hung_up: Requests whose client hung up.
        done_late: Of `done`, those later than the timeout.
        attempts: Attempts of all requests.
        attempts_per_request: Mean.
        attempts_max: Most attempts of one request.
        reasons: Count of each reason of requests that are not done.
        goodput: Done in time, per whole second since the start, over the load
            and until the last of them.
        latency_ms: Done requests, from the intended start.
        wire_ms: Done requests, from the write of the last attempt.
        refusal_ms: Attempts refused as not run by an answer, from the write.
    """

    sent: int
    done: int
    failed: int
    not_run: int
    unknown: int
    wrong: int
    cut: int
    hung_up: int
    done_late: int
    attempts: int
    attempts_per_request: float
    attempts_max: int
    reasons: dict[str, int]
    goodput: list[int]
    latency_ms: LatencyReport
    wire_ms: LatencyReport
    refusal_ms: LatencyReport


class LoadReport(TypedDict):
    """The report of a load.

    Attributes:
        targets: Where it was sent.
        rate: Mean arrivals per second asked for.
        seconds: Length of the load.
        seed: Seed of the load.
        late_start_ms: How late arrivals were begun by the tool itself.
        total: All kinds together.
        kinds: Each kind by name.
    """

    targets: list[str]
    rate: float
    seconds: float
    seed: int
    late_start_ms: LatencyReport
    total: KindReport
    kinds: dict[str, KindReport]
