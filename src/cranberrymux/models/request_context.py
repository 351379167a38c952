"""What travels with a call from hop to hop."""

from typing import NamedTuple

SHED_HASHES = 128


class RequestContext(NamedTuple):
    """The context of one call.

    Attributes:
        request_id: UUID of the whole request; the same on every hop.
        call_id: Id of this call within the request, unique per attempt
            series: the parent's call id, a dot and a number.
        principal: Who asks; answers go to this principal only.
        timeout_ms: Time left until the caller stops waiting.
        class_rank: Rank of the request's class; 0 is shed last.
        shed_hash: 0 to 127, fixed at the entry; within a class, calls with
            the higher number are shed first, so that the calls of one request
            are accepted or shed together.
        retry_budget: Retries that this call and its children may spend.
        attempt: 1 for the first try of this call.
        once_only: True if the call may run at most once.
        idempotent: True if the call may be run again after a lost outcome.
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
        """Order of shedding over classes and requests; 0 is shed last."""
        return self.class_rank * SHED_HASHES + self.shed_hash
