"""What a router is told of a call that it placed."""

import enum


class Outcome(enum.Enum):
    """How a call to an endpoint ended, seen from the caller's node.

    Attributes:
        DONE: A whole answer that is not a 5xx.
        FAILED: A whole 5xx answer of the backend server.
        REFUSED: The endpoint's node refused it for overload or a full queue.
        DRAINING: The endpoint's node refused it because it is leaving.
        UNREACHABLE: No connection could be made.
        LOST: The connection ended, or the answer was cut, after the call was
            sent.
        TIMED_OUT: The deadline came before an answer.
        CANCELLED: The caller gave up; says nothing of the endpoint.
    """

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


# Outcomes that count towards the ejection of an endpoint.
FAILURES = frozenset(
    {Outcome.FAILED, Outcome.UNREACHABLE, Outcome.LOST, Outcome.TIMED_OUT}
)
