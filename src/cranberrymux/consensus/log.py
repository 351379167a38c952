"""The log in memory: entries after a known start."""

from collections.abc import Sequence

from cranberrymux.consensus import entry as entry_module


class Log:
    """Entries from `first_index` on, and the term of the one before."""

    def __init__(
        self,
        start_index: int,
        start_term: int,
        entries: Sequence[entry_module.Entry],
    ) -> None:
        """Holds `entries`, which follow `start_index` without gaps."""
        self._start_index = start_index
        self._start_term = start_term
        self._entries = list(entries)

    @property
    def first_index(self) -> int:
        """Index of the first entry held."""
        return self._start_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the one before the first."""
        return self._start_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`."""
        if self._entries:
            return self._entries[-1].term
        return self._start_term

    def term_at(self, index: int) -> int | None:
        """Term of an entry, or None if it is not held."""
        if index == self._start_index:
            return self._start_term
        if not self.first_index <= index <= self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """True if a log that ends so is at least as new as this one."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def at(self, index: int) -> entry_module.Entry:
        """The entry at an index that is held."""
        return self._entries[index - self.first_index]

    def between(
        self, first_index: int, last_index: int
    ) -> Sequence[entry_module.Entry]:
        """Entries from `first_index` to `last_index`, both included."""
        start = first_index - self.first_index
        return self._entries[start : last_index - self.first_index + 1]

    def batch(
        self, first_index: int, max_entries: int, max_bytes: int
    ) -> tuple[entry_module.Entry, ...]:
        """Entries from an index on, bounded, at least one if there is one."""
        last_index = min(self.last_index, first_index + max_entries - 1)
        chosen: list[entry_module.Entry] = []
        size_bytes = 0
        for one in self.between(first_index, last_index):
            size_bytes += len(one.payload)
            if chosen and size_bytes > max_bytes:
                break
            chosen.append(one)
        return tuple(chosen)

    def append(self, entries: Sequence[entry_module.Entry]) -> None:
        """Adds entries that follow the last one."""
        self._entries.extend(entries)

    def truncate(self, from_index: int) -> None:
        """Drops the entry at `from_index` and all after it."""
        del self._entries[from_index - self.first_index :]

    def drop_below(self, first_index: int) -> None:
        """Drops entries below `first_index`, which is held or the next."""
        if first_index <= self.first_index:
            return
        term = self.term_at(first_index - 1)
        if term is None:
            return
        del self._entries[: first_index - self.first_index]
        self._start_index = first_index - 1
        self._start_term = term

    def reset(self, start_index: int, start_term: int) -> None:
        """Drops all entries; the next one follows `start_index`."""
        self._entries.clear()
        self._start_index = start_index
        self._start_term = start_term

    def first_of_term(self, index: int) -> int:
        """First held index that has the same term as the entry at `index`."""
        term = self.term_at(index)
        while index > self.first_index and self.term_at(index - 1) == term:
            index -= 1
        return index
