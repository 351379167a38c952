"""Callbacks at given times that share one timer of the reactor."""

from collections.abc import Callable
import heapq
from typing import Any

from cranberrymux.node import clock

# Shortest delay of a timer: bounds how often the reactor wakes.
MINIMUM_DELAY_S = 0.002


class DeadlineTable:
    """Heap of deadlines with one reactor timer, set to the earliest."""

    def __init__(self, reactor: Any, system_clock: clock.Clock) -> None:
        """Creates an empty table.

        Args:
            reactor: Provides the timer, by `callLater`.
            system_clock: Source of monotonic time.
        """
        self._reactor = reactor
        self._clock = system_clock
        self._heap: list[tuple[float, int]] = []
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._last_key = 0
        self._timer: Any = None
        self._timer_due_s = float("inf")

    def add(self, due_s: float, callback: Callable[[], None]) -> int:
        """Registers a callback.

        Args:
            due_s: Monotonic time in seconds at which it is due; it may be
                called up to `MINIMUM_DELAY_S` later, or more if the
                reactor is busy.
            callback: Called once, unless removed before.

        Returns:
            The key that removes it.
        """
        self._last_key = key = self._last_key + 1
        self._callbacks[key] = callback
        heapq.heappush(self._heap, (due_s, key))
        if due_s < self._timer_due_s:
            self._set_timer(due_s)
        return key

    def remove(self, key: int) -> None:
        """Drops a callback, if it is still registered.

        Its heap entry stays until it is due or the first.
        """
        self._callbacks.pop(key, None)

    def run_all(self) -> None:
        """Calls every callback now, in the order of their deadlines."""
        for _, key in sorted(self._heap):
            callback = self._callbacks.pop(key, None)
            if callback is not None:
                callback()

    def run_due(self) -> None:
        """Calls every callback that is due and sets the timer anew."""
        self._timer = None
        self._timer_due_s = float("inf")
        now_s = self._clock.now_s()
        try:
            while self._heap and self._heap[0][0] <= now_s:
                _, key = heapq.heappop(self._heap)
                callback = self._callbacks.pop(key, None)
                if callback is not None:
                    callback()
        finally:
            # Also if a callback fails, which the reactor logs.
            self._drop_removed()
            if self._heap and self._heap[0][0] < self._timer_due_s:
                self._set_timer(self._heap[0][0])

    def _drop_removed(self) -> None:
        while self._heap and self._heap[0][1] not in self._callbacks:
            heapq.heappop(self._heap)

    def _set_timer(self, due_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(due_s - self._clock.now_s(), MINIMUM_DELAY_S)
        self._timer_due_s = due_s
        self._timer = self._reactor.callLater(delay_s, self.run_due)
