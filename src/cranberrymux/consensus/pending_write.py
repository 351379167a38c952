"""Changes of one step that are not yet a write."""

from collections.abc import Iterable

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import write as write_module


class PendingWrite:
    """Collects a new term or vote, a truncation and entries to append.

    Attributes:
        hard_state: New term and vote; None if unchanged.
        truncate_from: First index to drop from the log's end; None for none.
        entries: Entries to append after the truncation.
    """

    def __init__(self) -> None:
        """Starts without changes."""
        self.hard_state: write_module.HardState | None = None
        self.truncate_from: int | None = None
        self.entries: list[entry_module.Entry] = []

    def append(self, entries: Iterable[entry_module.Entry]) -> None:
        """Adds entries to append."""
        self.entries.extend(entries)

    def take(self, write_id: int) -> write_module.Write | None:
        """Turns the changes into a write, and clears them.

        Args:
            write_id: Id for the write.

        Returns:
            The write; None if there are no changes.
        """
        unchanged = self.hard_state is None and self.truncate_from is None
        if unchanged and not self.entries:
            return None
        write = write_module.Write(
            write_id,
            hard_state=self.hard_state,
            truncate_from=self.truncate_from,
            entries=tuple(self.entries),
        )
        self.hard_state = None
        self.truncate_from = None
        self.entries = []
        return write
