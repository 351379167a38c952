"""What is held against a call."""

import enum


class Standing(enum.Enum):
    """How a call that is not refused may run.

    Attributes:
        CLEAR: Beside any other call.
        SUSPECT: On an endpoint with no other suspect.
        ALONE: On an endpoint with no other call.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    ALONE = "alone"
