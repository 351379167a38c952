"""In-memory log: the entries that follow the compacted ones."""

from collections.abc import Sequence

from cranberrymux.consensus import entry as entry_module


class Log:
    """Entries without gaps, and the index and term of the one before them."""

    def __init__(
        self,
        start_index: int,
        start_term: int,
        entries: Sequence[entry_module.Entry],
    ) -> None:
        """Starts with entries that are already durable.

        Args:
            start_index: Index of the last compacted entry; 0 for none.
            start_term: Term of that entry.
            entries: Entries that follow `start_index` without gaps.
        """
        self._start_index = start_index
        self._start_term = start_term
        self._entries = list(entries)

    @property
    def first_index(self) -> int:
        """Index of the first entry held; that of the next one if none is."""
        return self._start_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry held; `first_index - 1` if none is."""
        return self._start_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`, also if that is compacted."""
        if self._entries:
            return self._entries[-1].term
        return self._start_term

    def term_at(self, index: int) -> int | None:
        """Term of the entry at an index; None if the term is not known."""
        if index == self._start_index:
            return self._start_term
        if not self.first_index <= index <= self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """True if a log that ends so is at least as up to date as this one.

        Raft's condition for a vote: the last terms decide, then the lengths.

        Args:
            last_index: Index of the other log's last entry.
            last_term: Term of that entry.
        """
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def at(self, index: int) -> entry_module.Entry:
        """Entry at an index, which must be held."""
        return self._entries[index - self.first_index]

    def between(
        self, first_index: int, last_index: int
    ) -> Sequence[entry_module.Entry]:
        """Entries from `first_index` to `last_index`, both included."""
        start = first_index - self.first_index
        return self._entries[start : last_index - self.first_index + 1]

    def batch(
        self, first_index: int, maximum_entries: int, maximum_bytes: int
    ) -> tuple[entry_module.Entry, ...]:
        """Entries for one message, within limits of count and size.

        The first entry is included even if it alone exceeds `maximum_bytes`.

        Args:
            first_index: Index of the first entry.
            maximum_entries: Most entries to return.
            maximum_bytes: Most payload bytes to return.
        """
        last_index = min(self.last_index, first_index + maximum_entries - 1)
        batch: list[entry_module.Entry] = []
        size_bytes = 0
        for entry in self.between(first_index, last_index):
            size_bytes += len(entry.payload)
            if batch and size_bytes > maximum_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Sequence[entry_module.Entry]) -> None:
        """Appends entries that follow the last one without gaps."""
        self._entries.extend(entries)

    def truncate(self, from_index: int) -> None:
        """Drops the entry at `from_index` and all after it, on a conflict."""
        del self._entries[from_index - self.first_index :]

    def drop_below(self, first_index: int) -> None:
        """Drops compacted entries, so that the log starts at `first_index`.

        Does nothing unless `first_index` is held or the next index.
        """
        if first_index <= self.first_index:
            return
        term = self.term_at(first_index - 1)
        if term is None:
            return
        del self._entries[: first_index - self.first_index]
        self._start_index = first_index - 1
        self._start_term = term

    def retain_before(
        self, index: int, maximum_entries: int, maximum_bytes: int
    ) -> None:
        """Drops the entries before an index but for the last of them.

        Args:
            index: First entry that no limit applies to.
            maximum_entries: Most entries before it that stay.
            maximum_bytes: Most payload bytes of these entries.
        """
        first_index = index
        lowest_index = max(self.first_index, index - maximum_entries)
        remaining_bytes = maximum_bytes
        while first_index > lowest_index:
            remaining_bytes -= len(self.at(first_index - 1).payload)
            if remaining_bytes < 0:
                break
            first_index -= 1
        self.drop_below(first_index)

    def reset(self, start_index: int, start_term: int) -> None:
        """Drops all entries for a snapshot that ends at `start_index`."""
        self._entries.clear()
        self._start_index = start_index
        self._start_term = start_term

    def first_index_of_term(self, index: int) -> int:
        """Index of the first held entry of the same term as that at `index`."""
        term = self.term_at(index)
        while index > self.first_index and self.term_at(index - 1) == term:
            index -= 1
        return index
