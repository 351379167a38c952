"""State that the storage restores when a replica starts."""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write


class RestoredState(NamedTuple):
    """Durable state of one replica at its start.

    Attributes:
        replica_id: `name@incarnation` from the identity file of the data
            folder.
        hard_state: Current term and the vote given in it.
        snapshot: Latest snapshot; `snapshot.NONE` if there is none.
        entries: Entries after the snapshot, without gaps.
    """

    replica_id: str
    hard_state: write.HardState
    snapshot: snapshot.Snapshot
    entries: tuple[entry.Entry, ...]
