"""Messages between a node and the owner of the quotas."""

import enum
from typing import NamedTuple


class TokenRow(NamedTuple):
    """Tokens of one account.

    Attributes:
        account: Name of the account.
        tokens: In a request, how many tokens the node wants to hold; in an
            answer, how many it gets in addition.
        used: Tokens spent since the last request, less those taken back since;
            0 in an answer.
        is_urgent: In a request, True if requests wait for the tokens.
    """

    account: str
    tokens: int
    used: int = 0
    is_urgent: bool = False


class TokenRequest(NamedTuple):
    """Request of a node.

    Attributes:
        node_id: Name of the node.
        session: Number of the session, higher than all before of this node.
        sequence: Number of the request in the session, from 1 without gaps.
        rows: Accounts of which the node reports or wants tokens.
        is_standby: True for the pool of a control instance, whose rows say how
            many tokens it passed on.
    """

    node_id: str
    session: int
    sequence: int
    rows: tuple[TokenRow, ...]
    is_standby: bool = False


class TokenAnswer(NamedTuple):
    """Answer of the owner.

    Attributes:
        rows: Tokens that the node gets, one row for each of the request.
        ttl_s: Seconds from the first sending of the request for which the
            tokens that the node holds of these accounts are valid.
    """

    rows: tuple[TokenRow, ...]
    ttl_s: float


class TokenRefusal(enum.Enum):
    """Why a request was not answered.

    Attributes:
        UNKNOWN_SESSION: The owner cannot tell what the node holds. The node
            starts a new session.
        OLD_REQUEST: A later request or session was received before.
    """

    UNKNOWN_SESSION = "unknown session"
    OLD_REQUEST = "old request"
