"""What a replica asks its storage to make durable."""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import snapshot as snapshot_module


class HardState(NamedTuple):
    """The term and the vote given in it.

    Attributes:
        term: Highest term seen.
        voted_for: Replica id voted for in that term; empty for none.
    """

    term: int
    voted_for: str


class Write(NamedTuple):
    """One step's changes, applied in the order of the fields.

    Writes are applied in the order of their ids; one is done when all of it
    and all writes before it survive a power cut.

    Attributes:
        write_id: Counts up from 1 in one run of a replica.
        hard_state: Term and vote; None if unchanged.
        snapshot: Snapshot to keep; None for none.
        replaces_log: True if the snapshot stands for the whole log, which is
            dropped; False if it only allows the log's start to be dropped.
        truncate_from: First index to drop from the log's end; None for none.
        entries: Entries to append after that.
        first_index: Entries below may be dropped; None to leave as it is.
    """

    write_id: int
    hard_state: HardState | None = None
    snapshot: snapshot_module.Snapshot | None = None
    replaces_log: bool = False
    truncate_from: int | None = None
    entries: tuple[entry.Entry, ...] = ()
    first_index: int | None = None
