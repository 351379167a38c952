"""Event queue on a virtual clock."""

from collections.abc import Callable
import heapq
from typing import Any


class EventQueue:
    """Runs scheduled callbacks in the order of their time.

    Attributes:
        now_s: Present time of the virtual clock, seconds from zero.
    """

    def __init__(self) -> None:
        """Starts at zero without scheduled events."""
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._scheduled_count = 0

    def after(
        self, delay_s: float, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedules a callback; those of the same time run in call order.

        Args:
            delay_s: Time from now, seconds.
            callback: Function to call.
            *arguments: Its arguments.
        """
        self._scheduled_count += 1
        heapq.heappush(
            self._events,
            (self.now_s + delay_s, self._scheduled_count, callback, arguments),
        )

    def run_for(self, duration_s: float) -> None:
        """Runs the events of a time span and calls `check` after each.

        Args:
            duration_s: Length of the span, seconds.
        """
        until_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
            self.check()
        self.now_s = until_s

    def check(self) -> None:
        """Called after every event; does nothing unless overridden."""
