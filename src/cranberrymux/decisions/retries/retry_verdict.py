"""Whether a call may be tried again, and why not."""

import enum


class RetryVerdict(enum.Enum):
    """Sentinels for the answer of `retry_policy.may_retry`.

    Attributes:
        RETRY: It may.
        ANSWERED: The call has its answer.
        MAY_HAVE_RUN: The call may have run and is not idempotent.
        FINAL: The reason holds at any endpoint.
        SERVICE_OVERLOADED: The siblings refuse for overload too.
        NO_PARENT: The call has no parent context, so no budget.
        NO_BUDGET: The request's budget is spent.
        NO_EDGE_TOKEN: Too few calls to the service succeed.
        NO_TIME: Too little is left of the deadline.
        MAXIMUM_ATTEMPTS: The call had all its attempts.
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
