"""The sentinel for a context that is not valid."""

from typing import NamedTuple

from cranberrymux.decisions.contexts import context_fault


class ContextError(NamedTuple):
    """Takes the place of a context that is not valid.

    Attributes:
        reason: What is wrong.
        detail: One line for people, without the value itself.
    """

    reason: context_fault.ContextFault
    detail: str
