"""Entries of the replicated log."""

import enum
from typing import NamedTuple


class EntryKind(enum.IntEnum):
    """Type of an entry's payload; the values are stored and sent.

    Attributes:
        COMMAND: Opaque bytes for the state machine.
        NOOP: Empty; a new leader appends it first, since only an entry of its
            own term lets it commit those of older terms.
        MEMBERSHIP: An encoded `Membership`, in force from its append on,
            before it is committed.
    """

    COMMAND = 1
    NOOP = 2
    MEMBERSHIP = 3


class Entry(NamedTuple):
    """An entry of the log with its index and term.

    Attributes:
        log_index: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: Type of the payload.
        payload: Bytes whose meaning `kind` tells.
    """

    log_index: int
    term: int
    kind: EntryKind
    payload: bytes
