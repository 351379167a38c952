"""Types of the JSON report of a load."""

from typing import TypedDict


class LatencyReport(TypedDict):
    """Summary of latencies in milliseconds; all 0 if none was recorded.

    Attributes:
        count: Number of recorded latencies.
        mean: Arithmetic mean.
        p50: Median.
        p99: 99th percentile.
        p99_9: 99.9th percentile.
        max: Maximum.
    """

    count: int
    mean: float
    p50: float
    p99: float
    p99_9: float
    max: float


class KindReport(TypedDict):
    """Results of one kind of request, or of all kinds together.

    Attributes:
        sent: Requests begun; the sum of the seven outcomes below.
        done: Requests with a complete response of their own.
        failed: Requests that ran and failed.
        not_run: Requests that are proven not to have run.
        unknown: Requests that may have run.
        wrong: Requests whose response was malformed or of another request.
        cut: Requests whose response was truncated.
        hung_up: Requests whose client hung up.
        done_late: Requests of `done` whose response came after the timeout.
        attempts: Attempts of all requests that have ended.
        attempts_per_request: Mean attempts of a request that has ended.
        attempts_max: Highest number of attempts of one request.
        reasons: Number of requests that are not done, by reason.
        goodput: Requests done within the timeout, for each second since the
            start; covers the load and later seconds up to the last of them.
        latency_ms: Done requests, from scheduled arrival to response.
        wire_ms: Done requests, from the write of the last attempt.
        refusal_ms: Attempts that a response refused as not run, from the write
            of the attempt.
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
    """The report of a whole load.

    Attributes:
        targets: `ip:port` of each node or backend server.
        rate: Mean arrivals per second, as set.
        seconds: Duration of the arrivals, as set.
        seed: Seed of arrival times, kinds and ids.
        late_start_ms: Delays from scheduled arrival to first attempt that the
            load generator itself caused.
        unsolicited: Connections on which data arrived while no request was in
            flight.
        total: Results of all kinds together.
        kinds: Results by name of the kind.
    """

    targets: list[str]
    rate: float
    seconds: float
    seed: int
    late_start_ms: LatencyReport
    unsolicited: int
    total: KindReport
    kinds: dict[str, KindReport]
