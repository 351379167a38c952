"""What a call of the driver asks of its caller."""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import outgoing_message
from cranberrymux.consensus import snapshot


class Actions(NamedTuple):
    """What the caller must do after a call of the driver, in this order.

    Attributes:
        outgoing: Messages to send; each may be lost.
        snapshot_to_install: Snapshot that replaces the state machine's whole
            state; None for none.
        committed: Entries to apply, in log order; only those of kind COMMAND
            have a payload for the state machine.
        snapshot_wanted: True if the caller should pass the state machine's
            state to `store_snapshot`.
    """

    outgoing: tuple[outgoing_message.OutgoingMessage, ...] = ()
    snapshot_to_install: snapshot.Snapshot | None = None
    committed: tuple[entry.Entry, ...] = ()
    snapshot_wanted: bool = False
