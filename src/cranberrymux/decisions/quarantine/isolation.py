"""Degree of isolation in which a call may run."""

import enum


class Isolation(enum.Enum):
    """Which other calls may run on the endpoint at the same time.

    Attributes:
        CLEAR: Any other call; the call is no suspect.
        SUSPECT: Any call that is no suspect.
        ALONE: No other call.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    ALONE = "alone"
