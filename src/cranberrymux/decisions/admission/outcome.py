"""How a call that held a slot ended."""

import enum


class Outcome(enum.Enum):
    """End of a call, as far as it matters to the concurrency limit.

    Attributes:
        OK: The caller got a complete, usable answer; its latency counts.
        FAILED: The backend server answered with an error of its own.
        OVERLOADED: The backend server shed the call or timed out.
        CANCELLED: The caller gave up; the latency means nothing.
        LOST: The connection to the backend server broke.
    """

    OK = "ok"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    CANCELLED = "cancelled"
    LOST = "lost"
