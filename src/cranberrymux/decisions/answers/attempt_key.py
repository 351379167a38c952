"""Names one attempt of one call."""

from typing import NamedTuple

from cranberrymux.models import request_context


class AttemptKey(NamedTuple):
    """The attempt of a call.

    Attributes:
        request_id: Id of the request.
        call_id: Id of the call within it.
        attempt: Number of the attempt, from 1.
    """

    request_id: str
    call_id: str
    attempt: int


def from_context(context: request_context.RequestContext) -> AttemptKey:
    """Names the attempt to which a context belongs."""
    return AttemptKey(context.request_id, context.call_id, context.attempt)
