"""A fake backend server."""

import collections
from collections.abc import Callable
import random

from bench.overload import call as call_module
from bench.overload import clock as clock_module
from bench.overload import deployment

CRASH_AFTER_S = 0.01
COLD_FACTOR = 4.0


class Backend:
    """Slots, own work, crash on poison, cold start, load endpoint.

    More calls than slots wait inside, first come first served. A call holds
    its slot until `release`.

    Attributes:
        slow_factor: How much slower than usual its own work is.
        lie: Load that it reports whatever the truth; None for the truth.
        lag_s: Age of the load that it reports.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        service: deployment.Service,
    ) -> None:
        """Starts warm."""
        self.slow_factor = 1.0
        self.lie: float | None = None
        self.lag_s = 0.0
        self._clock = clock
        self._generator = generator
        self._service = service
        self._holders: set[call_module.Call] = set()
        self._waiting: collections.deque[
            tuple[call_module.Call, Callable[[call_module.Call], None]]
        ] = collections.deque()
        self._cold_from_s = 0.0
        self._warm_at_s = 0.0
        self._loads: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def factor(self) -> float:
        """How much slower than usual its own work is now."""
        now_s = self._clock.now_s
        if now_s >= self._warm_at_s:
            return self.slow_factor
        left = (self._warm_at_s - now_s) / (self._warm_at_s - self._cold_from_s)
        return self.slow_factor * (1.0 + (COLD_FACTOR - 1.0) * left)

    def warm_up(self, warm_s: float) -> None:
        """Starts cold; its work is slower until it is warm."""
        self._cold_from_s = self._clock.now_s
        self._warm_at_s = self._clock.now_s + warm_s

    def read_load(self) -> float:
        """Answers the load endpoint."""
        now_s = self._clock.now_s
        load = len(self._holders) / self._service.slots
        self._loads.append((now_s, min(load, 1.0)))
        while len(self._loads) > 1 and self._loads[1][0] <= now_s - self.lag_s:
            self._loads.popleft()
        return self._loads[0][1] if self.lie is None else self.lie

    def run(
        self,
        call: call_module.Call,
        worked: Callable[[call_module.Call], None],
        crashed: Callable[[], None],
    ) -> None:
        """Runs its own work for a call, then tells `worked`."""
        call.has_run = True
        if call.request.is_poison and call.depth == (
            len(call.request.kind.chain) - 1
        ):
            self._clock.call_later(CRASH_AFTER_S, crashed)
        if len(self._holders) >= self._service.slots:
            self._waiting.append((call, worked))
            return
        self._hold(call, worked)

    def release(self, call: call_module.Call) -> None:
        """Frees the slot of a call that was answered or cancelled."""
        self._holders.discard(call)
        while self._waiting and len(self._holders) < self._service.slots:
            self._hold(*self._waiting.popleft())

    def die(self) -> None:
        """Loses every call."""
        self._holders.clear()
        self._waiting.clear()

    def _hold(
        self,
        call: call_module.Call,
        worked: Callable[[call_module.Call], None],
    ) -> None:
        self._holders.add(call)
        mean_s = self._service.work_s * self.factor
        work_s = mean_s * self._generator.uniform(0.5, 1.5)
        self._clock.call_later(work_s, self._tell, call, worked)

    def _tell(
        self,
        call: call_module.Call,
        worked: Callable[[call_module.Call], None],
    ) -> None:
        if call in self._holders:
            worked(call)
