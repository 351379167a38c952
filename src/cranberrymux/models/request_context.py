"""Metadata that a call carries from hop to hop."""

from typing import NamedTuple

SHED_HASHES = 128  # Number of values of `shed_hash`.


class RequestContext(NamedTuple):
    """Identity, deadline, priority and retry limits of one call.

    Attributes:
        request_id: UUID of the whole request; the same on every hop.
        call_id: Id of this call within the request: the parent's call id, a
            dot and a number. All attempts of the call share it.
        principal: Name of the caller; only this principal may receive the
            answer.
        timeout_ms: Milliseconds left until the caller stops waiting.
        class_rank: Rank of the request's class; 0 is shed last.
        shed_hash: 0 to 127, set where the request enters and inherited by its
            child calls. Within a class, calls with the higher value are shed
            first, so that the calls of one request are accepted or shed
            together.
        retry_budget: Number of retries that this call and its child calls may
            spend.
        attempt: Number of this attempt of the call, from 1.
        once_only: True if the call may run at most once.
        idempotent: True if the call may run again when its outcome was lost.
    """

    request_id: str
    call_id: str
    principal: str
    timeout_ms: int
    class_rank: int
    shed_hash: int
    retry_budget: int
    attempt: int
    once_only: bool = False
    idempotent: bool = False

    @property
    def priority(self) -> int:
        """Shedding order across classes and requests; 0 is shed last."""
        return self.class_rank * SHED_HASHES + self.shed_hash
