"""The sentinel for a text that is no valid document."""

from typing import NamedTuple


class DocumentError(NamedTuple):
    """Takes the place of a document.

    Attributes:
        line: Line, from 1.
        key: The key at fault, dotted.
        expected: What would have been valid.
    """

    line: int
    key: str
    expected: str

    def __str__(self) -> str:
        """One line for people."""
        return f"{self.line}: {self.key}: expected {self.expected}"
