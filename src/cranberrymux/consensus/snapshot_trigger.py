"""When the state machine is asked for a snapshot."""

from collections.abc import Iterable

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import replica_settings


class SnapshotTrigger:
    """Counts what was applied since the last snapshot; asks once."""

    def __init__(self, settings: replica_settings.ReplicaSettings) -> None:
        """Starts after a snapshot."""
        self._settings = settings
        self._entries = 0
        self._bytes = 0
        self._is_asked = False

    def note_applied(self, entries: Iterable[entry_module.Entry]) -> None:
        """Counts applied entries."""
        for one in entries:
            self._entries += 1
            self._bytes += len(one.payload)

    def note_taken(self) -> None:
        """Starts to count again."""
        self._entries = 0
        self._bytes = 0
        self._is_asked = False

    def ask(self) -> bool:
        """True once when a snapshot is due."""
        if self._is_asked:
            return False
        self._is_asked = (
            self._entries >= self._settings.snapshot_entries
            or self._bytes >= self._settings.snapshot_log_bytes
        )
        return self._is_asked
