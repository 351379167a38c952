"""Snapshot that replaces the start of the log."""

from typing import NamedTuple

from cranberrymux.consensus import membership


class Snapshot(NamedTuple):
    """State machine and membership after all entries up to an index.

    Attributes:
        log_index: Last entry that the snapshot covers.
        term: Term of that entry.
        members: Membership in force at that entry.
        data: Opaque serialized state of the state machine.
    """

    log_index: int
    term: int
    members: membership.Membership
    data: bytes


NONE = Snapshot(0, 0, membership.EMPTY, b"")
