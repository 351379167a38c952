"""Virtual clock with a heap of events."""

from collections.abc import Callable
import heapq
import itertools
from typing import Any


class Clock:
    """Runs scheduled functions in order of time, then of scheduling.

    Attributes:
        now_s: Virtual seconds since the start of the run.
    """

    def __init__(self) -> None:
        """Creates a clock at second 0."""
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._sequence = itertools.count()

    def call_at(
        self, when_s: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedules a function; a time in the past counts as now."""
        event = (
            max(when_s, self.now_s),
            next(self._sequence),
            function,
            arguments,
        )
        heapq.heappush(self._events, event)

    def call_later(
        self, delay_s: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedules a function after a delay."""
        self.call_at(self.now_s + delay_s, function, *arguments)

    def run(self, until_s: float) -> None:
        """Runs the events up to and including a time and stops there."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now_s = until_s
