"""Waits until nothing is under way."""

from collections.abc import Callable
from typing import Any

from twisted.internet import task

from cranberrymux.node import clock as clock_module

POLL_S = 0.05


class IdleWait:
    """Looks again and again whether all requests have ended."""

    def __init__(
        self,
        reactor: Any,
        system_clock: clock_module.Clock,
        count_in_flight: Callable[[], int],
        on_idle: Callable[[], None],
    ) -> None:
        """Keeps whom to ask and whom to tell.

        Args:
            reactor: The reactor to use.
            system_clock: Tells how long it has waited.
            count_in_flight: Returns how many requests are under way.
            on_idle: Called once.
        """
        self._clock = system_clock
        self._count_in_flight = count_in_flight
        self._on_idle = on_idle
        self._shortest_s = 0.0
        self._longest_s = 0.0
        self._began_s = 0.0
        self._polling = task.LoopingCall(self._poll)
        self._polling.clock = reactor

    def start(self, shortest_s: float, longest_s: float) -> None:
        """Waits at least and at most so long."""
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._began_s = self._clock.now_s()
        self._polling.start(POLL_S, now=False)

    def _poll(self) -> None:
        age_s = self._clock.now_s() - self._began_s
        is_idle = not self._count_in_flight() and age_s > self._shortest_s
        if is_idle or age_s > self._longest_s:
            self._polling.stop()
            self._on_idle()
