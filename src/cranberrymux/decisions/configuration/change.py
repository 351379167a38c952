"""A configuration change that an operator requests."""

from typing import NamedTuple


class Change(NamedTuple):
    """A request to replace the whole configuration document.

    Attributes:
        change_id: Id chosen by the author; the same on each resend.
        base_version: Version of the document that the change is based on.
        author: Name of the operator.
        document: The new document as YAML text.
        rollback_of: Version whose document this change restores; 0 if it is
            no rollback.
    """

    change_id: str
    base_version: int
    author: str
    document: str
    rollback_of: int = 0
