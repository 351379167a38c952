"""How a run at a backend server ended."""

import enum


class RunEnd(enum.Enum):
    """What its time tells."""

    SERVED = "served"
    # The backend server answered, but with a failure.
    FAILED = "failed"
    # There was no answer, so its time tells nothing.
    UNANSWERED = "unanswered"
