"""An entry of the configuration history."""

from typing import NamedTuple


class ChangeRecord(NamedTuple):
    """An accepted change, without the text of its document.

    Attributes:
        version: Version that the change created.
        base_version: Version that the change was based on.
        change_id: Id chosen by the author.
        author: Name of the operator.
        at_ms: When the leader received the change, Unix milliseconds.
        difference: Unified diff from the previous version's document.
        rollback_of: Version whose document was restored; 0 if the change is
            no rollback.
    """

    version: int
    base_version: int
    change_id: str
    author: str
    at_ms: int
    difference: str
    rollback_of: int = 0
