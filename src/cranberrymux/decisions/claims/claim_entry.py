"""One row of the claim ledger."""

import enum
from typing import NamedTuple

from cranberrymux.decisions.claims import claim


class ClaimState(enum.Enum):
    """Where a granted call stands.

    Attributes:
        RUNNING: Granted; not ended yet.
        SETTLED: Ended with a stored answer.
        RELEASED: The owner proved that no byte was handed over.
        UNKNOWN: May have run; final.
    """

    RUNNING = "running"
    SETTLED = "settled"
    RELEASED = "released"
    UNKNOWN = "unknown"


class ClaimEntry(NamedTuple):
    """A grant and what became of it.

    Attributes:
        claim: The claim that was granted.
        granted_ms: When, by the ledger's time.
        state: Where the call stands.
        status: HTTP status, once settled.
        body: The answer's body, once settled.
    """

    claim: claim.Claim
    granted_ms: int
    state: ClaimState = ClaimState.RUNNING
    status: int = 0
    body: bytes | None = None
