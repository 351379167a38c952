"""Result of an outbound call that got no complete answer."""

import enum
from typing import NamedTuple


class LossReason(enum.Enum):
    """Why there is no complete answer.

    Attributes:
        NOT_CONNECTED: No connection to the receiver could be opened.
        CONNECTION_LOST: The connection ended before the final answer's head.
        TRUNCATED: The connection ended within the body of the answer.
        NOT_VALID: What came is no valid HTTP/1.1 answer.
        NO_LENGTH: The answer ends with its connection, so that its end cannot
            be told from a loss.
    """

    NOT_CONNECTED = "not-connected"
    CONNECTION_LOST = "connection-lost"
    TRUNCATED = "truncated"
    NOT_VALID = "not-valid"
    NO_LENGTH = "no-length"


class LostAnswer(NamedTuple):
    """An outbound call that got no complete answer.

    Attributes:
        reason: Why there is no complete answer.
        is_handed_over: True if any byte of the request may have reached the
            receiver.
        detail: Readable cause in one line.
    """

    reason: LossReason
    is_handed_over: bool
    detail: str
