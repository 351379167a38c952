"""Settings of retry budgets and retry decisions."""

from typing import NamedTuple


class RetrySettings(NamedTuple):
    """Limits of the retries of a request, a call and a service edge.

    Attributes:
        root_budget: Retries granted to a whole request at its entry.
        maximum_attempts: Most attempts of one call, the first included.
        overload_attempts: Endpoints of a service that may refuse a call for
            overload before it is no longer retried.
        minimum_timeout_ms: Milliseconds that must be left until the caller's
            deadline for a retry to be made.
        edge_ratio: Retries earned by one success on a service edge.
        edge_window_s: Seconds after which earned retries have lapsed.
        edge_capacity: Most earned retries that an edge can accumulate.
        edge_floor_per_s: Retries a second that an edge gets without successes,
            so that calls to a rarely called service can be retried at all.
        maximum_edges: Most service edges kept.
        grant_age_s: Seconds for which the grant of a request id is kept after
            the request was last sent.
        maximum_grants: Most grants kept; while they are all in use, new
            requests get no budget.
    """

    root_budget: int = 3
    maximum_attempts: int = 3
    overload_attempts: int = 2
    minimum_timeout_ms: int = 10
    edge_ratio: float = 0.1
    edge_window_s: float = 10.0
    edge_capacity: float = 100.0
    edge_floor_per_s: float = 0.1
    maximum_edges: int = 4096
    grant_age_s: float = 120.0
    maximum_grants: int = 65536
