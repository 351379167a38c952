"""A change that an operator asks for."""

from typing import NamedTuple


class Change(NamedTuple):
    """One change of the whole document.

    Attributes:
        change_id: Chosen by the author; the same on each resend.
        base_version: The version that the author saw.
        author: Who asks.
        document: The new YAML text.
        rollback_of: The version whose document this brings back; 0 for none.
    """

    change_id: str
    base_version: int
    author: str
    document: str
    rollback_of: int = 0
