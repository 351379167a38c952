"""How the run of a request on a backend server ended."""

import enum


class RunOutcome(enum.Enum):
    """Decides what the working time of a run is used for.

    Attributes:
        SERVED: The backend server answered without a failure.
        FAILED: The backend server answered with a failure.
        UNANSWERED: No answer came, so the working time says nothing.
    """

    SERVED = "served"
    FAILED = "failed"
    UNANSWERED = "unanswered"
