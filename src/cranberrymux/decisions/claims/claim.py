"""A claim on running a once-only call."""

from typing import NamedTuple


class Claim(NamedTuple):
    """What an owner asks for before the first byte of a call is handed over.

    Attributes:
        request_id: UUIDv7 of the whole request.
        call_id: Id of the call in the request, the same for every attempt.
        body_digest: Digest of method, path and body.
        owner: Node that will hand the call to its backend server.
        owner_incarnation: Start time of that node in Unix milliseconds.
        principal: Who asks; the stored answer goes to this principal only.
        claim_id: The same on each resend of one claim; empty if the owner
            never resends.
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
        """What one grant is for."""
        return self.request_id, self.call_id
