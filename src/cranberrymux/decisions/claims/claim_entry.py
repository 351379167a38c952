"""Entry of the claim ledger: a granted call and its state."""

import enum
from typing import NamedTuple

from cranberrymux.decisions.claims import claim


class ClaimState(enum.Enum):
    """State of a granted call.

    Attributes:
        RUNNING: Granted and not ended yet.
        SETTLED: Ended with a stored answer.
        RELEASED: The owner reported that no byte was sent to a backend server.
            The call may be granted again.
        UNKNOWN: May have run, with an unknown outcome; final.
    """

    RUNNING = "running"
    SETTLED = "settled"
    RELEASED = "released"
    UNKNOWN = "unknown"


class ClaimEntry(NamedTuple):
    """A granted claim with the state and the answer of its call.

    Attributes:
        claim: The claim that was granted.
        granted_ms: Time of the grant in Unix milliseconds.
        state: State of the call.
        status: HTTP status once settled; 0 before.
        body: Response body once settled, if it was kept; None otherwise.
    """

    claim: claim.Claim
    granted_ms: int
    state: ClaimState = ClaimState.RUNNING
    status: int = 0
    body: bytes | None = None
