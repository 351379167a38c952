"""The sentinel of the wire layer."""

import enum
from typing import NamedTuple


class WireErrorReason(enum.Enum):
    """Why a call between processes has no answer.

    Attributes:
        NOT_CONNECTED: Nothing was sent.
        TIMEOUT: Sent; the answer did not come in time.
        CONNECTION_LOST: Sent; the connection ended before the answer.
        REFUSED: The other process refused, such as for a wrong key.
        PROTOCOL: The answer could not be read.
    """

    NOT_CONNECTED = "not-connected"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection-lost"
    REFUSED = "refused"
    PROTOCOL = "protocol"


class WireError(NamedTuple):
    """Given in place of an answer.

    Attributes:
        reason: What went wrong.
        detail: One line for people.
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
