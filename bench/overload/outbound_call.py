"""Call to be made on behalf of a caller, before its first attempt."""

from collections.abc import Callable
from typing import NamedTuple

from bench.overload import call


class OutboundCall(NamedTuple):
    """A call of a request, which may take several attempts.

    Attributes:
        request: Request that the call is part of.
        depth: Index in the request's chain, from 0.
        deadline_s: Virtual seconds at which the caller stops waiting.
        on_answer: Called once with the final answer.
        on_attempt: Called with each attempt, so that the caller can cancel it.
    """

    request: call.Request
    depth: int
    deadline_s: float
    on_answer: Callable[[call.Answer], None]
    on_attempt: Callable[[call.Call], None]
