"""Answer of the claim ledger to a claim or a settlement."""

from typing import NamedTuple

from cranberrymux.decisions.claims import claim_entry
from cranberrymux.decisions.claims import claim_verdict

RUNNING_RETRY_MS = 250

_State = claim_entry.ClaimState
_Verdict = claim_verdict.ClaimVerdict


class ClaimAnswer(NamedTuple):
    """State of a call in the ledger, as told to whoever asks for it.

    Attributes:
        verdict: Whether the call was granted, or why not.
        status: HTTP status of a settled call; 0 otherwise.
        body: Response body of a settled call; None if there is none or there
            was no room to keep it.
        owner: Node that was granted the call; empty if none.
        retry_after_ms: Milliseconds after which to ask again; 0 if asking
            again would not help.
    """

    verdict: claim_verdict.ClaimVerdict
    status: int = 0
    body: bytes | None = None
    owner: str = ""
    retry_after_ms: int = 0


def from_entry(entry: claim_entry.ClaimEntry) -> ClaimAnswer:
    """Returns the answer for an entry that exists, whoever asks."""
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
