"""The priority level above which calls are refused."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.models import request_context

HISTORY_DECAY = 0.7  # Weight of the past when a window ends.
ADMIT_STEP_DOWN = 0.05  # Share of the admitted calls shed per window.
FIRST_STEP_UP = 2  # Priorities reopened by the first calm window.


class ShedLevel:
    """Finds the level from the wait in the queue and what arrives.

    While calls wait too long, the level falls to where the calls at or below
    it come to what the endpoint finished. In calm windows it rises by steps
    that double, so that it is open again within about ten windows.
    """

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        """Starts open."""
        self._top = settings.class_ranks * request_context.SHED_HASHES - 1
        self._target_wait_s = settings.target_wait_s
        self._arrivals = [0.0] * (self._top + 1)
        self._finished = 0.0
        self._step = FIRST_STEP_UP
        self.level = self._top

    @property
    def top(self) -> int:
        """The level that refuses nothing."""
        return self._top

    @property
    def is_open(self) -> bool:
        """True if no call is refused for its priority."""
        return self.level >= self._top

    def clamp(self, priority: int) -> int:
        """Brings a priority into the range of the level."""
        return min(max(priority, 0), self._top)

    def count_arrival(self, priority: int) -> None:
        """Counts a call that asked to be admitted, whatever became of it."""
        self._arrivals[min(max(priority, 0), self._top)] += 1.0

    def end_window(self, wait_s: float, shed: int, finished: int) -> None:
        """Moves the level.

        Args:
            wait_s: Mean wait of the calls that started in the window.
            shed: Calls that the full queue or their deadline cost.
            finished: Calls that the endpoint finished.
        """
        self._finished += finished
        if wait_s > self._target_wait_s or shed:
            self._lower()
        elif not self.is_open:
            self._raise()
        self._arrivals = [HISTORY_DECAY * count for count in self._arrivals]
        self._finished *= HISTORY_DECAY

    def _lower(self) -> None:
        self._step = FIRST_STEP_UP
        admitted = sum(self._arrivals[: self.level + 1])
        target = min(self._finished, (1 - ADMIT_STEP_DOWN) * admitted)
        while self.level > 0 and admitted > target:
            admitted -= self._arrivals[self.level]
            self.level -= 1

    def _raise(self) -> None:
        self.level = min(self.level + self._step, self._top)
        self._step *= 2
