"""What a replica finds on its disk when it starts."""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write


class RestoredState(NamedTuple):
    """The durable state of one replica.

    Attributes:
        replica_id: `name@incarnation` from the folder's identity file.
        hard_state: Term and vote.
        snapshot: Last snapshot; `snapshot.NONE` if there is none.
        entries: Entries after the snapshot, without gaps.
    """

    replica_id: str
    hard_state: write.HardState
    snapshot: snapshot.Snapshot
    entries: tuple[entry.Entry, ...]
