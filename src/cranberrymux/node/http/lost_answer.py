"""Why an answer did not come whole."""

import enum
from typing import NamedTuple


class LossReason(enum.Enum):
    """Sentinels for the loss of an answer."""

    NOT_CONNECTED = "not-connected"
    CONNECTION_LOST = "connection-lost"
    TRUNCATED = "truncated"
    NOT_VALID = "not-valid"
    NO_LENGTH = "no-length"


class LostAnswer(NamedTuple):
    """A sentinel with its reason.

    Attributes:
        reason: What happened.
        is_handed_over: True if any byte of the request may have reached the
            receiver.
        detail: One line for people.
    """

    reason: LossReason
    is_handed_over: bool
    detail: str
