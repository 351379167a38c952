"""Events on a virtual clock."""

from collections.abc import Callable
import heapq
from typing import Any


class Events:
    """Planned events in the order of their time.

    Attributes:
        now_s: The virtual clock.
    """

    def __init__(self) -> None:
        """Starts at zero with nothing planned."""
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._count = 0

    def after(
        self, delay_s: float, what: Callable[..., None], *with_: Any
    ) -> None:
        """Plans an event."""
        self._count += 1
        heapq.heappush(
            self._events, (self.now_s + delay_s, self._count, what, with_)
        )

    def run_for(self, duration_s: float) -> None:
        """Lets events happen, checking after each."""
        until_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, what, with_ = heapq.heappop(self._events)
            what(*with_)
            self.check()
        self.now_s = until_s

    def check(self) -> None:
        """Checks what has to hold after every event."""
