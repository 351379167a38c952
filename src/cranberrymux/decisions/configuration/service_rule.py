"""Settings of one service."""

from typing import NamedTuple


class ServiceRule(NamedTuple):
    """Limits of calls to one service.

    Attributes:
        name: The service.
        retry_budget: Retries of a whole request that enters here.
        timeout_ms: Longest wait where the caller names none.
        limit_cap: Calls in flight at most at one endpoint; 0 for what the
            endpoint announces.
        queue_cap: Calls queued at most at one endpoint; 0 for the node's
            own setting.
    """

    name: str
    retry_budget: int
    timeout_ms: int
    limit_cap: int
    queue_cap: int
