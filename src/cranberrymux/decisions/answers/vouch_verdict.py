"""What a callee's node can say of a lost attempt."""

import enum


class VouchVerdict(enum.Enum):
    """Sentinels for what the node knows.

    Attributes:
        REFUSED: Not handed over, and a tombstone refuses a late arrival.
        HANDED_OVER: A byte went to the backend server.
        CANNOT_VOUCH: The node has no room for the tombstone.
    """

    REFUSED = "refused"
    HANDED_OVER = "handed-over"
    CANNOT_VOUCH = "cannot-vouch"
