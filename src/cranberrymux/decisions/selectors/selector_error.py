"""The result of parsing a text that is not a valid selector."""

from typing import NamedTuple

from cranberrymux.decisions.selectors import selector_fault


class SelectorError(NamedTuple):
    """First fault of a selector's text, returned instead of a selector.

    Attributes:
        reason: Kind of the fault.
        column: Position of the fault in characters, from 1.
        expected: Description of what would have been valid there.
    """

    reason: selector_fault.SelectorFault
    column: int
    expected: str

    def __str__(self) -> str:
        """Formats the error as `column N: expected ...`."""
        return f"column {self.column}: expected {self.expected}"
