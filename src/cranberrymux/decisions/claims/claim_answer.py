"""The answer to a claim or a settlement."""

from typing import NamedTuple

from cranberrymux.decisions.claims import claim_verdict


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
