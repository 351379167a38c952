"""Identifies one attempt of a call."""

from typing import NamedTuple

from cranberrymux.models import request_context


class AttemptKey(NamedTuple):
    """Key of one attempt of a call.

    Attributes:
        request_id: UUID of the whole request.
        call_id: Id of the call within the request.
        attempt: Number of the attempt, from 1.
    """

    request_id: str
    call_id: str
    attempt: int


def from_context(context: request_context.RequestContext) -> AttemptKey:
    """Returns the key of the attempt that a context was made for."""
    return AttemptKey(context.request_id, context.call_id, context.attempt)
