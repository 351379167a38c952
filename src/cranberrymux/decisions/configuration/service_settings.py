"""Per-service settings of the configuration document."""

from typing import NamedTuple


class ServiceSettings(NamedTuple):
    """Limits of the calls to one service.

    Attributes:
        name: Name of the service; empty for the defaults.
        retry_budget: Number of retries, over all its calls, of a request that
            enters the system at this service.
        timeout_ms: Timeout in milliseconds of calls whose caller sets none.
        limit_cap: Maximum number of calls in flight at one endpoint; 0 for
            the number of slots that the endpoint announces.
        queue_cap: Maximum number of calls queued at one endpoint; 0 for the
            node's own setting.
    """

    name: str
    retry_budget: int
    timeout_ms: int
    limit_cap: int
    queue_cap: int
