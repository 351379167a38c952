"""Waits during a stop until no request is in flight."""

from collections.abc import Callable
from typing import Any

from twisted.internet import task

from cranberrymux.node import clock as clock_module

POLL_INTERVAL_S = 0.05


class IdleWait:
    """Polls the number of requests in flight, within time limits."""

    def __init__(
        self,
        reactor: Any,
        system_clock: clock_module.Clock,
        count_in_flight: Callable[[], int],
        on_idle: Callable[[], None],
    ) -> None:
        """Starts without polling; see `start`.

        Args:
            reactor: The reactor to use.
            system_clock: Measures the time waited.
            count_in_flight: Returns the number of requests in flight.
            on_idle: Called once, at the end of the wait.
        """
        self._clock = system_clock
        self._count_in_flight = count_in_flight
        self._on_idle = on_idle
        self._minimum_s = 0.0
        self._maximum_s = 0.0
        self._started_at_s = 0.0
        self._polling = task.LoopingCall(self._poll)
        self._polling.clock = reactor

    def start(self, minimum_s: float, maximum_s: float) -> None:
        """Starts polling.

        Args:
            minimum_s: Seconds to wait even if no request is in flight.
            maximum_s: Seconds after which the wait ends in any case.
        """
        self._minimum_s = minimum_s
        self._maximum_s = maximum_s
        self._started_at_s = self._clock.now_s()
        self._polling.start(POLL_INTERVAL_S, now=False)

    def _poll(self) -> None:
        elapsed_s = self._clock.now_s() - self._started_at_s
        is_idle = not self._count_in_flight() and elapsed_s > self._minimum_s
        if is_idle or elapsed_s > self._maximum_s:
            self._polling.stop()
            self._on_idle()
