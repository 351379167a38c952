"""Writes that are not yet durable, and messages that wait for them."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cranberrymux.consensus import messages
from cranberrymux.consensus import write as write_module

MAXIMUM_HELD_MESSAGES = 4096


class _HeldMessage(NamedTuple):
    write_id: int
    message: messages.Message


class _UnsyncedWrite(NamedTuple):
    write_id: int
    last_index: int


class WriteQueue:
    """Tracks the durable part of the log and holds messages back."""

    def __init__(self, durable_index: int) -> None:
        """Starts with no writes.

        Args:
            durable_index: Last entry of the log restored from the disk.
        """
        self._durable_index = durable_index
        self._synced_write_id = 0
        self._next_write_id = 1
        self._unsynced: collections.deque[_UnsyncedWrite] = collections.deque()
        # While the disk is stalled the oldest messages are dropped, which is
        # safe as any message may be lost.
        self._held_messages: collections.deque[_HeldMessage] = (
            collections.deque(maxlen=MAXIMUM_HELD_MESSAGES)
        )
        self._new_writes: list[write_module.Write] = []

    @property
    def durable_index(self) -> int:
        """Index of the last entry of the in-memory log that is durable."""
        return self._durable_index

    @property
    def next_write_id(self) -> int:
        """Id for the next write."""
        return self._next_write_id

    @property
    def is_idle(self) -> bool:
        """True if every write so far is durable."""
        return not self._unsynced

    def add(self, write: write_module.Write, last_index: int) -> None:
        """Queues a write after which the log ends at `last_index`."""
        self._new_writes.append(write)
        self._unsynced.append(_UnsyncedWrite(write.write_id, last_index))
        self._next_write_id += 1

    def take_writes(self) -> tuple[write_module.Write, ...]:
        """Takes the writes queued since the last call."""
        writes = tuple(self._new_writes)
        self._new_writes.clear()
        return writes

    def note_dropped_from(self, index: int) -> None:
        """Treats entries from `index` on as not durable, as they were dropped.

        Writes that are not yet durable may still hold dropped entries, so
        they too count only up to the entry before.
        """
        self._durable_index = min(self._durable_index, index - 1)
        self._unsynced = collections.deque(
            unsynced._replace(last_index=min(unsynced.last_index, index - 1))
            for unsynced in self._unsynced
        )

    def note_synced(self, write_id: int) -> None:
        """Marks all writes up to `write_id` as durable."""
        self._synced_write_id = max(self._synced_write_id, write_id)
        while self._unsynced and self._unsynced[0].write_id <= write_id:
            self._durable_index = self._unsynced.popleft().last_index

    def is_synced(self, write_id: int) -> bool:
        """True if this write and all before it are durable."""
        return write_id <= self._synced_write_id

    def hold(self, new_messages: Iterable[messages.Message]) -> None:
        """Holds messages back until every write so far is durable."""
        write_id = self._next_write_id - 1
        self._held_messages.extend(
            _HeldMessage(write_id, message) for message in new_messages
        )

    def release(self) -> list[messages.Message]:
        """Takes the held messages whose writes are durable by now."""
        released = []
        while self._held_messages and self.is_synced(
            self._held_messages[0].write_id
        ):
            released.append(self._held_messages.popleft().message)
        return released
