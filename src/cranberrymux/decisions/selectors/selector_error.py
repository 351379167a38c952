"""The sentinel for a text that is not a selector."""

from typing import NamedTuple

from cranberrymux.decisions.selectors import selector_fault


class SelectorError(NamedTuple):
    """Takes the place of a selector.

    Attributes:
        reason: What is wrong.
        column: Where, from 1.
        expected: What would have been valid there.
    """

    reason: selector_fault.SelectorFault
    column: int
    expected: str

    def __str__(self) -> str:
        """One line for people."""
        return f"column {self.column}: expected {self.expected}"
