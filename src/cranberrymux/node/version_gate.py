"""Holds calls until the configuration that their sender has is in force."""

from collections.abc import Callable
from typing import NamedTuple

from cranberrymux.node import clock
from cranberrymux.node import deadline_table

WAIT_LIMIT_S = 0.5
_MAXIMUM_WAITING = 1000


class _Waiting(NamedTuple):
    version: int
    deadline_key: int
    on_ready: Callable[[bool], None]


class VersionGate:
    """Calls that came with a newer version than the one in force."""

    def __init__(
        self,
        deadlines: deadline_table.DeadlineTable,
        system_clock: clock.Clock,
    ) -> None:
        """Starts without calls."""
        self._deadlines = deadlines
        self._clock = system_clock
        self._waiting: dict[int, _Waiting] = {}
        self._next = 0

    def wait(self, version: int, on_ready: Callable[[bool], None]) -> None:
        """Holds a call.

        Args:
            version: Version that must be in force first.
            on_ready: Called once; with False if the version did not come in
                time and the call must be refused.
        """
        if len(self._waiting) >= _MAXIMUM_WAITING:
            on_ready(False)
            return
        number = self._next
        self._next += 1
        due_s = self._clock.now_s() + WAIT_LIMIT_S
        key = self._deadlines.add(due_s, lambda: self._end(number, False))
        self._waiting[number] = _Waiting(version, key, on_ready)

    def version_in_force(self, version: int) -> None:
        """Lets every call go on that waited for this version or a lower one."""
        ready = [
            number
            for number, one in self._waiting.items()
            if one.version <= version
        ]
        for number in ready:
            self._end(number, True)

    def _end(self, number: int, is_ready: bool) -> None:
        one = self._waiting.pop(number, None)
        if one is None:
            return
        self._deadlines.remove(one.deadline_key)
        one.on_ready(is_ready)
