"""One entry of the log."""

import enum
from typing import NamedTuple


class EntryKind(enum.IntEnum):
    """What an entry's payload is.

    Attributes:
        COMMAND: Opaque bytes for the state machine.
        NOOP: Empty; a new leader's first entry.
        MEMBERSHIP: An encoded `Membership`, in force once appended.
    """

    COMMAND = 1
    NOOP = 2
    MEMBERSHIP = 3


class Entry(NamedTuple):
    """An entry and its place.

    Attributes:
        log_index: Place in the log, from 1.
        term: Term of the leader that appended it.
        kind: What the payload is.
        payload: Bytes of the kind.
    """

    log_index: int
    term: int
    kind: EntryKind
    payload: bytes
