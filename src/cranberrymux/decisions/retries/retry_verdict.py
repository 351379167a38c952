"""Result of the retry decision."""

import enum


class RetryVerdict(enum.Enum):
    """Whether `retry_policy.decide_retry` allows a retry, or why not.

    Attributes:
        RETRY: The call may be retried.
        ANSWERED: The call has its final answer.
        MAY_HAVE_RUN: The call may have run and must not run again.
        FINAL: The refusal would be the same at every endpoint.
        SERVICE_OVERLOADED: Other endpoints refused the call for overload too.
        NO_PARENT: The call has no parent context and so no retry budget.
        NO_BUDGET: The retry budget is spent.
        NO_EDGE_TOKEN: Too few recent calls to the service succeeded.
        NO_TIME: Too little time is left until the deadline.
        MAXIMUM_ATTEMPTS: The call has used all its attempts.
    """

    RETRY = "retry"
    ANSWERED = "answered"
    MAY_HAVE_RUN = "may-have-run"
    FINAL = "final"
    SERVICE_OVERLOADED = "service-overloaded"
    NO_PARENT = "no-parent"
    NO_BUDGET = "no-budget"
    NO_EDGE_TOKEN = "no-edge-token"
    NO_TIME = "no-time"
    MAXIMUM_ATTEMPTS = "maximum-attempts"
