"""Result of an offline check of a data folder."""

from typing import NamedTuple

from cranberrymux.storage import failure


class CheckReport(NamedTuple):
    """State of a data folder that was read and verified, but not changed.

    Attributes:
        path: The folder.
        replica_id: Replica id in the identity file; empty if it could not be
            read.
        term: Highest term that the replica has seen.
        voted_for: Replica id voted for in that term; empty for none.
        snapshot_index: Index of the last entry that the snapshot covers; 0
            without a snapshot.
        snapshot_bytes: Size of the snapshot's data.
        first_index: Index of the first entry in the segments; 0 if there is
            none.
        last_index: Index of the last entry in the segments or the snapshot.
        segments: Number of log segments.
        torn_bytes: Bytes at the log's end of a write that was never
            acknowledged; the next start truncates them.
        problem: Why the folder cannot be used; None if it can.
    """

    path: str
    replica_id: str = ""
    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    snapshot_bytes: int = 0
    first_index: int = 0
    last_index: int = 0
    segments: int = 0
    torn_bytes: int = 0
    problem: failure.StorageError | None = None

    @property
    def is_sound(self) -> bool:
        """True if a control instance can start from the folder."""
        return self.problem is None
