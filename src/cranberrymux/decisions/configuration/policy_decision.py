"""The decision of a policy about one request."""

from typing import NamedTuple

from cranberrymux.decisions.selectors import selector


class PolicyDecision(NamedTuple):
    """Class, limits and execution guarantees of a request.

    Attributes:
        class_rank: Rank of the request's class; 0 is shed last.
        class_name: Name of the request's class.
        protected: True if the class may use all of a service's capacity.
        once_only: True if the request may run at most once.
        idempotent: True if the request may run again when its outcome was
            lost.
        strict: True if the request is refused while no control instance
            confirms that the node's configuration is current.
        places: Selectors that an endpoint's labels must all match.
        retry_budget: Number of retries of the whole request if it enters the
            system with this call.
        timeout_ms: Timeout in milliseconds if the caller sets none.
        limit_cap: Maximum number of calls in flight at one endpoint; 0 for no
            cap.
        queue_cap: Maximum number of calls queued at one endpoint; 0 for no
            cap.
        class_selector: Name of the selector rule that assigned the class;
            empty if the default class applies.
        selectors: Names of all matching selector rules, in the order of the
            document.
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
