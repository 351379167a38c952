"""Outputs of a replica's step that its caller must carry out."""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import messages as messages_module
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write


class Effects(NamedTuple):
    """Messages, writes and state machine input that result from one step.

    The replica holds back a message that depends on a write until `note_synced`
    reports that write, so all messages here may be sent at once.

    Attributes:
        messages: Messages to send; each may be lost, duplicated or reordered.
        writes: Writes to make durable, in order.
        snapshot_to_install: Snapshot that replaces the state machine's state,
            before `committed`; None for none.
        committed: Committed entries in order, without gaps.
        snapshot_wanted: True if the caller should pass a snapshot of the
            state machine at the last applied entry to `store_snapshot`.
    """

    messages: tuple[messages_module.Message, ...] = ()
    writes: tuple[write.Write, ...] = ()
    snapshot_to_install: snapshot.Snapshot | None = None
    committed: tuple[entry.Entry, ...] = ()
    snapshot_wanted: bool = False
