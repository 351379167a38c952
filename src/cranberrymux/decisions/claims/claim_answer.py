"""The answer to a claim or a settlement."""

from typing import NamedTuple

from cranberrymux.decisions.claims import claim_entry
from cranberrymux.decisions.claims import claim_verdict

RUNNING_RETRY_MS = 250

_State = claim_entry.ClaimState
_Verdict = claim_verdict.ClaimVerdict


class ClaimAnswer(NamedTuple):
    """What the ledger says of a call.

    Attributes:
        verdict: The state of the claim.
        status: HTTP status of a settled call; 0 otherwise.
        body: Body of a settled call; None if there is none or it was too
            large to keep.
        owner: Who was granted the call; empty if nobody.
        retry_after_ms: When to ask again; 0 if it would not help.
    """

    verdict: claim_verdict.ClaimVerdict
    status: int = 0
    body: bytes | None = None
    owner: str = ""
    retry_after_ms: int = 0


def tell(entry: claim_entry.ClaimEntry) -> ClaimAnswer:
    """Returns what everyone who asks is told of an entry."""
    owner = entry.claim.owner
    if entry.state is _State.RUNNING:
        return ClaimAnswer(
            _Verdict.RUNNING, owner=owner, retry_after_ms=RUNNING_RETRY_MS
        )
    if entry.state is _State.SETTLED:
        return ClaimAnswer(_Verdict.SETTLED, entry.status, entry.body, owner)
    if entry.state is _State.RELEASED:
        return ClaimAnswer(_Verdict.UNAVAILABLE)
    return ClaimAnswer(_Verdict.UNKNOWN_OUTCOME, owner=owner)
