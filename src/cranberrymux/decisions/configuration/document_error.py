"""The result of reading a document that is not valid."""

from typing import NamedTuple


class DocumentError(NamedTuple):
    """Location of a document's first fault, returned instead of a document.

    Attributes:
        line: Line number, from 1.
        key: Dotted path of the invalid key, or `(file)` for the whole text.
        expected: Description of what would have been valid.
    """

    line: int
    key: str
    expected: str

    def __str__(self) -> str:
        """Formats the error as `line: key: expected ...`."""
        return f"{self.line}: {self.key}: expected {self.expected}"
