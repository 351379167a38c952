"""Simulated backend server."""

import collections
from collections.abc import Callable
import random

from bench.overload import call as call_module
from bench.overload import clock as clock_module
from bench.overload import deployment

CRASH_AFTER_S = 0.01
COLD_SLOW_FACTOR = 4.0


class Backend:
    """Runs calls in a fixed number of slots and reports its load.

    Calls beyond the number of slots wait in order of arrival. A call holds its
    slot until `release`, also while it waits for its downstream call. After a
    cold start, work is slower for a while. The deepest service of a chain
    crashes when it runs a poison request.

    Attributes:
        slow_factor: Factor on the time of its own work once it is warm.
        constant_load: Load, 0.0 to 1.0, that it reports in place of its own;
            None to report its own.
        load_lag_s: Age in seconds of the load that it reports.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        service: deployment.Service,
    ) -> None:
        """Creates a warm, idle backend server.

        Args:
            clock: The virtual clock.
            generator: Source of the random durations of work.
            service: Its service, for slots and mean work.
        """
        self.slow_factor = 1.0
        self.constant_load: float | None = None
        self.load_lag_s = 0.0
        self._clock = clock
        self._generator = generator
        self._service = service
        self._running: set[call_module.Call] = set()
        self._waiting: collections.deque[
            tuple[call_module.Call, Callable[[call_module.Call], None]]
        ] = collections.deque()
        self._cold_from_s = 0.0
        self._warm_at_s = 0.0
        self._loads: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def current_slow_factor(self) -> float:
        """Factor on the time of its own work, with what a cold start adds.

        What the cold start adds falls linearly until the server is warm.
        """
        now_s = self._clock.now_s
        if now_s >= self._warm_at_s:
            return self.slow_factor
        cold_share = (self._warm_at_s - now_s) / (
            self._warm_at_s - self._cold_from_s
        )
        return self.slow_factor * (1.0 + (COLD_SLOW_FACTOR - 1.0) * cold_share)

    def warm_up(self, warm_s: float) -> None:
        """Starts cold and becomes warm over the given seconds."""
        self._cold_from_s = self._clock.now_s
        self._warm_at_s = self._clock.now_s + warm_s

    def read_load(self) -> float:
        """Returns the load, 0.0 to 1.0, that the load endpoint reports."""
        now_s = self._clock.now_s
        load = len(self._running) / self._service.slots
        self._loads.append((now_s, min(load, 1.0)))
        while (
            len(self._loads) > 1
            and self._loads[1][0] <= now_s - self.load_lag_s
        ):
            self._loads.popleft()
        return (
            self._loads[0][1]
            if self.constant_load is None
            else self.constant_load
        )

    def run(
        self,
        call: call_module.Call,
        on_work_done: Callable[[call_module.Call], None],
        on_crash: Callable[[], None],
    ) -> None:
        """Runs its own work for a call, as soon as a slot is free.

        Args:
            call: The call.
            on_work_done: Called with the call when the work is done.
            on_crash: Called if the call crashes this backend server.
        """
        call.has_run = True
        if call.request.is_poison and call.depth == (
            len(call.request.kind.chain) - 1
        ):
            self._clock.call_later(CRASH_AFTER_S, on_crash)
        if len(self._running) >= self._service.slots:
            self._waiting.append((call, on_work_done))
            return
        self._start(call, on_work_done)

    def release(self, call: call_module.Call) -> None:
        """Frees the slot of an answered or cancelled call for the next one."""
        self._running.discard(call)
        while self._waiting and len(self._running) < self._service.slots:
            self._start(*self._waiting.popleft())

    def die(self) -> None:
        """Drops all running and waiting calls."""
        self._running.clear()
        self._waiting.clear()

    def _start(
        self,
        call: call_module.Call,
        on_work_done: Callable[[call_module.Call], None],
    ) -> None:
        self._running.add(call)
        mean_s = self._service.work_s * self.current_slow_factor
        work_s = mean_s * self._generator.uniform(0.5, 1.5)
        self._clock.call_later(work_s, self._finish_work, call, on_work_done)

    def _finish_work(
        self,
        call: call_module.Call,
        on_work_done: Callable[[call_module.Call], None],
    ) -> None:
        if call in self._running:
            on_work_done(call)
