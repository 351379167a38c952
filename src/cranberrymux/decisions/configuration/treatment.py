"""What the configuration says of one request."""

from typing import NamedTuple

from cranberrymux.decisions.selectors import selector


class Treatment(NamedTuple):
    """How a request is to be treated.

    Attributes:
        class_rank: Rank of its class; 0 is shed last.
        class_name: Name of its class.
        protected: True if its class is protected.
        once_only: True if it may run at most once.
        idempotent: True if it may run again after a lost outcome.
        strict: True if it needs a configuration that is vouched for.
        places: Endpoints must match each of these.
        retry_budget: Retries of the whole request, if it enters here.
        timeout_ms: Longest wait where the caller names none.
        limit_cap: Calls in flight at most at one endpoint; 0 for no cap.
        queue_cap: Calls queued at most at one endpoint; 0 for no cap.
        class_selector: Name of the selector that gave the class; empty for
            the default.
        selectors: Names of all the selectors that matched, in order.
    """

    class_rank: int
    class_name: str
    protected: bool
    once_only: bool
    idempotent: bool
    strict: bool
    places: tuple[selector.Selector, ...]
    retry_budget: int
    timeout_ms: int
    limit_cap: int
    queue_cap: int
    class_selector: str
    selectors: tuple[str, ...]
