"""The result of a call between processes that has no answer."""

import enum
from typing import NamedTuple


class WireErrorReason(enum.Enum):
    """Why a call between processes has no answer.

    Attributes:
        NOT_CONNECTED: There was no connection; nothing was sent.
        TIMEOUT: The call was sent; no answer arrived in time.
        CONNECTION_LOST: The call was sent; the connection ended before the
            answer arrived.
        REFUSED: The other process refused the call, for example for a wrong
            key.
        PROTOCOL: The answer could not be decoded.
    """

    NOT_CONNECTED = "not-connected"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection-lost"
    REFUSED = "refused"
    PROTOCOL = "protocol"


class WireError(NamedTuple):
    """Returned in place of an answer.

    Attributes:
        reason: Why there is no answer.
        detail: Address of the other process and the cause, in one line.
    """

    reason: WireErrorReason
    detail: str

    @property
    def was_sent(self) -> bool:
        """True if the other process may have acted on the call."""
        return self.reason in (
            WireErrorReason.TIMEOUT,
            WireErrorReason.CONNECTION_LOST,
            WireErrorReason.PROTOCOL,
        )
