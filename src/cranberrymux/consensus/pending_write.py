"""The changes of one step, until they become a write."""

from collections.abc import Iterable

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import write as write_module


class PendingWrite:
    """Gathers a term or vote, a truncation and the entries after it.

    Attributes:
        hard_state: New term and vote; None if unchanged.
        truncate_from: First index to drop; None for none.
        entries: Entries to append.
    """

    def __init__(self) -> None:
        """Starts with no change."""
        self.hard_state: write_module.HardState | None = None
        self.truncate_from: int | None = None
        self.entries: list[entry_module.Entry] = []

    def append(self, entries: Iterable[entry_module.Entry]) -> None:
        """Adds entries."""
        self.entries.extend(entries)

    def take(self, write_id: int) -> write_module.Write | None:
        """The changes as a write, which starts anew; None if there are none."""
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
