"""Writes on their way to the disk, and messages that wait for them."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cranberrymux.consensus import messages
from cranberrymux.consensus import write as write_module

MAX_HELD_MESSAGES = 4096


class _Held(NamedTuple):
    write_id: int
    message: messages.Message


class _Unsynced(NamedTuple):
    write_id: int
    last_index: int


class WriteQueue:
    """Numbers writes and knows which of the log's entries are durable."""

    def __init__(self, durable_index: int) -> None:
        """Starts with the last entry that the disk holds."""
        self._durable_index = durable_index
        self._synced_write_id = 0
        self._next_write_id = 1
        self._unsynced: collections.deque[_Unsynced] = collections.deque()
        # Any message may be lost, so the oldest go while a disk hangs.
        self._held: collections.deque[_Held] = collections.deque(
            maxlen=MAX_HELD_MESSAGES
        )
        self._new: list[write_module.Write] = []

    @property
    def durable_index(self) -> int:
        """Last entry of the log in memory that survives a crash."""
        return self._durable_index

    @property
    def next_write_id(self) -> int:
        """Id that the next write will get."""
        return self._next_write_id

    @property
    def is_idle(self) -> bool:
        """True if every write so far is durable."""
        return not self._unsynced

    def add(self, write: write_module.Write, last_index: int) -> None:
        """Queues a write after which the log ends at `last_index`."""
        self._new.append(write)
        self._unsynced.append(_Unsynced(write.write_id, last_index))
        self._next_write_id += 1

    def take_writes(self) -> tuple[write_module.Write, ...]:
        """Writes queued since the last time."""
        writes = tuple(self._new)
        self._new.clear()
        return writes

    def forget_from(self, index: int) -> None:
        """Takes entries from an index on as not durable."""
        self._durable_index = min(self._durable_index, index - 1)
        self._unsynced = collections.deque(
            one._replace(last_index=min(one.last_index, index - 1))
            for one in self._unsynced
        )

    def synced(self, write_id: int) -> None:
        """Learns that all writes up to one are durable."""
        self._synced_write_id = max(self._synced_write_id, write_id)
        while self._unsynced and self._unsynced[0].write_id <= write_id:
            self._durable_index = self._unsynced.popleft().last_index

    def is_synced(self, write_id: int) -> bool:
        """True if the write is durable."""
        return write_id <= self._synced_write_id

    def hold(self, held: Iterable[messages.Message]) -> None:
        """Keeps messages back until every write so far is durable."""
        write_id = self._next_write_id - 1
        self._held.extend(_Held(write_id, message) for message in held)

    def release(self) -> list[messages.Message]:
        """Messages that may be sent by now."""
        released = []
        while self._held and self.is_synced(self._held[0].write_id):
            released.append(self._held.popleft().message)
        return released
