"""What is held against a call."""

import enum


class Standing(enum.Enum):
    """How a call that is not refused may run.

    Attributes:
        CLEAR: Beside any other call.
        SUSPECT: Alone on its endpoint.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
