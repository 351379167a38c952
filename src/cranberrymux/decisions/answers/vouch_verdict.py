"""Verdicts of a callee's node on an attempt whose answer was lost."""

import enum


class VouchVerdict(enum.Enum):
    """Whether an attempt was handed over to the backend server.

    Attributes:
        REFUSED: It is not on record as handed over, and a tombstone refuses
            it if it arrives late.
        HANDED_OVER: It was handed over; it may have run.
        CANNOT_VOUCH: The node has no room for its tombstone, so the attempt
            may still run.
    """

    REFUSED = "refused"
    HANDED_OVER = "handed-over"
    CANNOT_VOUCH = "cannot-vouch"
