"""One line of the history."""

from typing import NamedTuple


class ChangeRecord(NamedTuple):
    """An accepted change.

    Attributes:
        version: The version that it made.
        base_version: The version that it was built on.
        change_id: The change's id.
        author: Who asked.
        at_ms: When the leader took it, Unix milliseconds.
        difference: Unified diff of the document's text.
        rollback_of: The version it brought back; 0 for none.
    """

    version: int
    base_version: int
    change_id: str
    author: str
    at_ms: int
    difference: str
    rollback_of: int = 0
