"""Settings of retries."""

from typing import NamedTuple


class RetrySettings(NamedTuple):
    """How much may be tried again, and when.

    Attributes:
        root_budget: Retries granted to a request at its entry.
        maximum_attempts: Attempts of one call, the first included.
        overload_attempts: Endpoints of a service that may refuse a call for
            overload before it is given up.
        minimum_timeout_ms: Time left without which no retry is made.
        edge_ratio: Retries earned by one success on a service edge.
        edge_window_s: Time after which an earned retry has lapsed.
        edge_maximum: Retries that may be saved up on an edge.
        edge_floor_per_s: Retries a second that an edge has without successes,
            so that a seldom called service can be retried at all.
        edges_maximum: Service edges remembered.
        grant_age_s: Time after its last sending for which the grant of a
            request id is remembered.
        grants_maximum: Grants remembered; beyond that, new requests get none.
    """

    root_budget: int = 3
    maximum_attempts: int = 3
    overload_attempts: int = 2
    minimum_timeout_ms: int = 10
    edge_ratio: float = 0.1
    edge_window_s: float = 10.0
    edge_maximum: float = 100.0
    edge_floor_per_s: float = 0.1
    edges_maximum: int = 4096
    grant_age_s: float = 120.0
    grants_maximum: int = 65536
