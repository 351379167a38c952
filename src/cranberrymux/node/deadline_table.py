"""Callbacks that are due at a time, checked in steps."""

from collections.abc import Callable
import heapq
import itertools


class DeadlineTable:
    """A heap of deadlines; one timer of the reactor serves all calls."""

    def __init__(self) -> None:
        """Makes an empty table."""
        self._heap: list[tuple[float, int]] = []
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._numbers = itertools.count()

    def add(self, due_s: float, callback: Callable[[], None]) -> int:
        """Registers a callback; returns the key that removes it."""
        key = next(self._numbers)
        self._callbacks[key] = callback
        heapq.heappush(self._heap, (due_s, key))
        return key

    def remove(self, key: int) -> None:
        """Drops a callback; its heap entry goes when it is due."""
        self._callbacks.pop(key, None)

    def run_due(self, now_s: float) -> None:
        """Calls every callback that is due."""
        while self._heap and self._heap[0][0] <= now_s:
            _, key = heapq.heappop(self._heap)
            callback = self._callbacks.pop(key, None)
            if callback is not None:
                callback()
