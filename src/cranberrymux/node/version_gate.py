"""Delays calls until the configuration version they need is in force."""

from collections.abc import Callable
from typing import NamedTuple

from cranberrymux.node import clock
from cranberrymux.node import deadline_table

WAIT_LIMIT_S = 0.5
_MAXIMUM_WAITING_CALLS = 1000


class _WaitingCall(NamedTuple):
    version: int
    deadline_key: int
    on_ready: Callable[[bool], None]


class VersionGate:
    """Holds calls whose sender has a newer configuration than this node."""

    def __init__(
        self,
        deadlines: deadline_table.DeadlineTable,
        system_clock: clock.Clock,
    ) -> None:
        """Starts without calls.

        Args:
            deadlines: Runs the time limit of each call.
            system_clock: Source of monotonic time.
        """
        self._deadlines = deadlines
        self._clock = system_clock
        self._waiting: dict[int, _WaitingCall] = {}
        self._next_number = 0

    def wait(self, version: int, on_ready: Callable[[bool], None]) -> None:
        """Holds a call, for at most `WAIT_LIMIT_S`.

        Args:
            version: Configuration version that must be in force first.
            on_ready: Called once; with True when that version is in force,
                with False if the call must be refused: because that took too
                long, or at once because too many calls wait.
        """
        if len(self._waiting) >= _MAXIMUM_WAITING_CALLS:
            on_ready(False)
            return
        number = self._next_number
        self._next_number += 1
        due_s = self._clock.now_s() + WAIT_LIMIT_S
        key = self._deadlines.add(due_s, lambda: self._release(number, False))
        self._waiting[number] = _WaitingCall(version, key, on_ready)

    def version_in_force(self, version: int) -> None:
        """Releases the calls that wait for this version or a lower one."""
        ready = [
            number
            for number, waiting in self._waiting.items()
            if waiting.version <= version
        ]
        for number in ready:
            self._release(number, True)

    def _release(self, number: int, is_ready: bool) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return
        self._deadlines.remove(waiting.deadline_key)
        waiting.on_ready(is_ready)
