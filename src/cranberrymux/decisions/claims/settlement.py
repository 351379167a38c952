"""Settlement of a claimed call: its answer or its release."""

from typing import NamedTuple

STATUS_NOT_RUN = 0  # In `Settlement.status`: the claim is released.


class Settlement(NamedTuple):
    """Tells the ledger how a granted call ended.

    Attributes:
        request_id: As in the claim.
        call_id: As in the claim.
        owner: As in the claim.
        owner_incarnation: As in the claim.
        claim_id: As in the claim.
        status: HTTP status of the answer. `STATUS_NOT_RUN` if no byte of the
            call was or will be sent to a backend server, which releases the
            claim.
        body: Response body; None if it is too large to keep.
    """

    request_id: str
    call_id: str
    owner: str
    owner_incarnation: int
    claim_id: str
    status: int
    body: bytes | None = None

    @property
    def key(self) -> tuple[str, str]:
        """Request id and call id, as in `Claim.key`."""
        return self.request_id, self.call_id
