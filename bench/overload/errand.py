"""A call that a caller wants made, whatever attempts it takes."""

from collections.abc import Callable
from typing import NamedTuple

from bench.overload import call


class Errand(NamedTuple):
    """One call with its caller.

    Attributes:
        request: The request that it is part of.
        depth: Place in the request's chain.
        deadline_s: When the caller stops waiting.
        answered: Told the answer once.
        adopt: Told each attempt, so that the caller can cancel it.
    """

    request: call.Request
    depth: int
    deadline_s: float
    answered: Callable[[call.Answer], None]
    adopt: Callable[[call.Call], None]
