"""Timer on the virtual clock."""

from collections.abc import Callable

from bench.overload import clock as clock_module


class Timer:
    """Calls a function at the earliest time set since its last call."""

    def __init__(
        self, clock: clock_module.Clock, function: Callable[[], None]
    ) -> None:
        """Creates a timer without a time set."""
        self._clock = clock
        self._function = function
        self._when_s: float | None = None

    def set(self, when_s: float | None) -> None:
        """Sets a time; ignored if None or if an earlier one is set."""
        if when_s is None:
            return
        if self._when_s is None or when_s < self._when_s:
            self._when_s = when_s
            self._clock.call_at(when_s, self._fire, when_s)

    def _fire(self, when_s: float) -> None:
        if self._when_s == when_s:
            self._when_s = None
            self._function()
