"""Writes that a replica asks its storage to make durable."""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import snapshot as snapshot_module


class HardState(NamedTuple):
    """Term and vote, which must survive a crash.

    Attributes:
        term: Highest term seen.
        voted_for: Replica id voted for in that term; empty for none.
    """

    term: int
    voted_for: str


class Write(NamedTuple):
    """Changes to the durable state, applied in the order of the fields.

    Writes are applied in the order of their ids; a write is complete when it
    and all writes before it survive a power failure.

    Attributes:
        write_id: Number of the write, from 1 at each start of a replica.
        hard_state: Term and vote; None if unchanged.
        snapshot: Snapshot to store; None for none.
        replaces_log: True if the snapshot replaces the whole log; False if
            it only allows entries at the log's start to be dropped.
        truncate_from: First index to drop from the log's end; None for none.
        entries: Entries to append after the truncation.
        first_index: Entries with a lower index may be dropped; None to drop
            none.
    """

    write_id: int
    hard_state: HardState | None = None
    snapshot: snapshot_module.Snapshot | None = None
    replaces_log: bool = False
    truncate_from: int | None = None
    entries: tuple[entry.Entry, ...] = ()
    first_index: int | None = None
