"""What a step of a replica asks its surroundings to do."""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import messages as messages_module
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write


class Effects(NamedTuple):
    """Outputs of one step.

    Messages that state something durable are held inside the replica until
    `disk_done` tells of the write they depend on, so all messages here may be
    sent at once.

    Attributes:
        messages: Messages to send; each may be lost, doubled or reordered.
        writes: Writes to make durable, in order.
        install: Snapshot that replaces the state machine's state, before
            `committed`; None for none.
        committed: Committed entries in order, without gaps.
        snapshot_wanted: True if the state machine should hand in a snapshot
            of its state at the last applied entry.
    """

    messages: tuple[messages_module.Message, ...] = ()
    writes: tuple[write.Write, ...] = ()
    install: snapshot.Snapshot | None = None
    committed: tuple[entry.Entry, ...] = ()
    snapshot_wanted: bool = False
