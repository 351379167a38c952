"""Failed requests of an operator's session, as values."""

import enum
from typing import NamedTuple


class SessionErrorReason(enum.Enum):
    """Why a request of an operator's session failed.

    Attributes:
        UNREACHABLE: No control instance with a quorum answered in time. A
            change may still have been accepted: repeat it with the same
            change id.
        WRONG_TOKEN: The control instance refused the operators' token.
        NOT_FOUND: The version is not kept, or the node is not known.
        INVALID: The control instance refused the request as invalid.
    """

    UNREACHABLE = "unreachable"
    WRONG_TOKEN = "wrong-token"
    NOT_FOUND = "not-found"
    INVALID = "invalid"


class SessionError(NamedTuple):
    """Stands for the result of a request that failed.

    Attributes:
        reason: Kind of the failure.
        detail: Cause of the failure, one line for operators.
    """

    reason: SessionErrorReason
    detail: str
