"""How a call that held a slot ended."""

import enum


class Outcome(enum.Enum):
    """What the concurrency limit learns from the end of a call.

    Attributes:
        OK: A whole answer that the caller could use; its latency counts.
        FAILED: The backend server answered with an error of its own.
        OVERLOADED: The backend server shed the call or timed out on it.
        CANCELLED: The caller gave up; the latency says nothing.
        LOST: The connection to the backend server broke.
    """

    OK = "ok"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    CANCELLED = "cancelled"
    LOST = "lost"
