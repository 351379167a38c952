"""The result for an invalid context."""

from typing import NamedTuple

from cranberrymux.decisions.contexts import context_fault


class ContextError(NamedTuple):
    """Returned in place of an invalid context.

    Attributes:
        reason: The rule that the context breaks.
        detail: Human-readable cause, one line; never contains the value, which
            comes from outside.
    """

    reason: context_fault.ContextFault
    detail: str
