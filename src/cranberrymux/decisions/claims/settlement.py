"""The end of a claimed call."""

from typing import NamedTuple

STATUS_NOT_RUN = 0


class Settlement(NamedTuple):
    """What the owner says of a call that it was granted.

    Attributes:
        request_id: As in the claim.
        call_id: As in the claim.
        owner: As in the claim.
        owner_incarnation: As in the claim.
        claim_id: As in the claim.
        status: HTTP status of the answer; `STATUS_NOT_RUN` if no byte was
            handed over and none will be, which frees the claim.
        body: The answer's body; None if it is too large to keep.
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
        """What the grant was for."""
        return self.request_id, self.call_id
