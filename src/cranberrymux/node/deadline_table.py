"""Callbacks that are due at a time, under one timer of the reactor."""

from collections.abc import Callable
import heapq
import itertools
from typing import Any

from cranberrymux.node import clock

# Shortest time between two wake-ups.
STEP_S = 0.002


class DeadlineTable:
    """A heap of deadlines that wakes the reactor only when one is due."""

    def __init__(self, reactor: Any, system_clock: clock.Clock) -> None:
        """Makes an empty table.

        Args:
            reactor: Gives the timer, by `callLater`.
            system_clock: Tells monotonic seconds.
        """
        self._reactor = reactor
        self._clock = system_clock
        self._heap: list[tuple[float, int]] = []
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._numbers = itertools.count()
        self._timer: Any = None
        self._wakes_s = float("inf")

    def add(self, due_s: float, callback: Callable[[], None]) -> int:
        """Registers a callback; returns the key that removes it."""
        key = next(self._numbers)
        self._callbacks[key] = callback
        heapq.heappush(self._heap, (due_s, key))
        if due_s < self._wakes_s:
            self._schedule(due_s)
        return key

    def remove(self, key: int) -> None:
        """Drops a callback; its heap entry goes when it is due."""
        self._callbacks.pop(key, None)

    def run_due(self) -> None:
        """Calls every callback that is due."""
        self._timer = None
        self._wakes_s = float("inf")
        now_s = self._clock.now_s()
        while self._heap and self._heap[0][0] <= now_s:
            _, key = heapq.heappop(self._heap)
            callback = self._callbacks.pop(key, None)
            if callback is not None:
                callback()
        self._drop_removed()
        if self._heap and self._heap[0][0] < self._wakes_s:
            self._schedule(self._heap[0][0])

    def _drop_removed(self) -> None:
        while self._heap and self._heap[0][1] not in self._callbacks:
            heapq.heappop(self._heap)

    def _schedule(self, due_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(due_s - self._clock.now_s(), STEP_S)
        self._wakes_s = due_s
        self._timer = self._reactor.callLater(delay_s, self.run_due)
