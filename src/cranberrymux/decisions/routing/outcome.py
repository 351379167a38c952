"""Outcomes of calls that a router learns from."""

import enum


class Outcome(enum.Enum):
    """How a call to an endpoint ended, as observed by the caller's node.

    Attributes:
        DONE: A complete answer other than a 5xx arrived.
        FAILED: A complete 5xx answer of the backend server arrived.
        REFUSED: The endpoint's node refused the call for overload or a full
            queue.
        DRAINING: The endpoint's node refused the call because it is draining.
        UNREACHABLE: No connection could be opened.
        LOST: After the call was sent, the connection closed or the answer was
            truncated.
        TIMED_OUT: The deadline passed before an answer arrived.
        CANCELLED: The caller gave up; this says nothing about the endpoint.
    """

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


# Outcomes that count towards ejection.
FAILURES = frozenset(
    {Outcome.FAILED, Outcome.UNREACHABLE, Outcome.LOST, Outcome.TIMED_OUT}
)
