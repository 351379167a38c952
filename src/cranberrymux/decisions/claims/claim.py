"""Claim to the right to run a once-only call."""

from typing import NamedTuple


class Claim(NamedTuple):
    """Asks for the right to run a call, before its first byte is sent.

    The owner is the node that asks. It sends the call to its backend server
    only after the ledger has granted the claim.

    Attributes:
        request_id: UUIDv7 of the whole request.
        call_id: Id of the call within the request; the same for every attempt.
        body_digest: Digest of method, path and body.
        owner: Node that will send the call to its backend server.
        owner_incarnation: Start time of that node in Unix milliseconds.
        principal: Principal of the request; only it gets the stored answer.
        claim_id: Id of this claim, the same on each resend of it; empty if
            the owner never resends.
    """

    request_id: str
    call_id: str
    body_digest: str
    owner: str
    owner_incarnation: int
    principal: str
    claim_id: str = ""

    @property
    def key(self) -> tuple[str, str]:
        """Request id and call id: the call that can be granted once."""
        return self.request_id, self.call_id
