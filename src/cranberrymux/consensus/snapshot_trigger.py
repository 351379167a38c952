"""Decides when the state machine is asked for a snapshot."""

from collections.abc import Iterable

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import replica_settings


class SnapshotTrigger:
    """Counts entries and bytes applied since the last snapshot."""

    def __init__(self, settings: replica_settings.ReplicaSettings) -> None:
        """Starts with nothing applied since a snapshot.

        Args:
            settings: Give the entries and bytes at which one is requested.
        """
        self._settings = settings
        self._applied_entries = 0
        self._applied_bytes = 0
        self._is_requested = False

    def note_applied(self, entries: Iterable[entry_module.Entry]) -> None:
        """Adds applied entries to the counts."""
        for entry in entries:
            self._applied_entries += 1
            self._applied_bytes += len(entry.payload)

    def note_taken(self) -> None:
        """Resets the counts, as a snapshot was taken."""
        self._applied_entries = 0
        self._applied_bytes = 0
        self._is_requested = False

    def request_if_due(self, last_snapshot_bytes: int) -> bool:
        """True if a snapshot is due and was not requested yet.

        Returns True once for each snapshot.

        Args:
            last_snapshot_bytes: Size of the last snapshot. Fewer bytes of
                entries make none due, or a large state is written all the time.
        """
        if self._is_requested:
            return False
        due_bytes = max(self._settings.snapshot_log_bytes, last_snapshot_bytes)
        self._is_requested = (
            self._applied_entries >= self._settings.snapshot_entries
            or self._applied_bytes >= due_bytes
        )
        return self._is_requested
