"""The sentinel of an operator's session."""

import enum
from typing import NamedTuple


class SessionErrorReason(enum.Enum):
    """Why a session has no answer.

    Attributes:
        UNREACHABLE: No control instance with a quorum answered in time. A
            change may have been accepted: send its change id again.
        WRONG_TOKEN: The token was refused.
        NOT_FOUND: What was asked for is not there.
        INVALID: The request was refused as wrong.
    """

    UNREACHABLE = "unreachable"
    WRONG_TOKEN = "wrong-token"
    NOT_FOUND = "not-found"
    INVALID = "invalid"


class SessionError(NamedTuple):
    """Takes the place of an answer.

    Attributes:
        reason: What went wrong.
        detail: One line for people.
    """

    reason: SessionErrorReason
    detail: str
