"""What an offline check of a data folder found."""

from typing import NamedTuple

from cranberrymux.storage import failure


class CheckReport(NamedTuple):
    """The state of a folder; nothing was changed.

    Attributes:
        path: The folder.
        replica_id: Its identity; empty if it could not be read.
        term: Highest term seen.
        voted_for: Whom it voted for in that term.
        snapshot_index: Last entry that the snapshot covers.
        snapshot_bytes: Size of the snapshot's data.
        first_index: First entry in the segments; 0 if there is none.
        last_index: Last entry, or the snapshot's.
        segments: Count of segments.
        torn_bytes: Bytes of a write that was never acknowledged; the next
            start cuts them off.
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
