"""The priority level above which calls are refused."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.models import request_context

HISTORY_DECAY = 0.8  # Weight of the past when a window ends.
CLASS_HISTORY_DECAY = 0.97  # The same for the arrivals of whole classes.
FITTING_SHARE = 1.0  # Classes below this share of the capacity fit into it.
HIGH_SHARE = 1.15  # Arrivals above this share of the capacity lower the level.
LOW_SHARE = 1.05  # Arrivals below this share of the capacity raise it.
CAUTIOUS_SHARE = 0.3  # Part of the missing arrivals reopened with a queue.
IDLE_WINDOWS = 10  # Length of one window after which the past says nothing.
MINIMUM_STEP = 2  # Fewest priorities reopened in one window.
MAXIMUM_STEP = 64  # Most priorities reopened in one window.
IDLE_SLACK = 64  # Priorities above the level that may take an idle slot.


class ShedLevel:
    """Matches what arrives to what the endpoint can finish.

    Callers that know the level shed above it before work is spent. The level
    lets a little more through than the endpoint can finish: the queue, which
    is in order of priority, chooses among these, so that no slot is idle
    because the level was a little low.
    """

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        """Starts open."""
        self._top = settings.class_ranks * request_context.SHED_HASHES - 1
        self._window_s = settings.window_s
        self._arrivals = [0.0] * (self._top + 1)
        self._seconds = 0.0
        self._class_arrivals = [0.0] * settings.class_ranks
        self._class_seconds = 0.0
        self._level = self._top

    @property
    def level(self) -> int:
        """Calls with a priority above this are refused."""
        return self._level

    @property
    def top(self) -> int:
        """The level that refuses nothing."""
        return self._top

    @property
    def idle_level(self) -> int:
        """Calls with a priority above this are refused beside idle slots."""
        return min(self._level + IDLE_SLACK, self._top)

    @property
    def first_class_per_s(self) -> float:
        """Arrivals a second of the class that is shed last."""
        if not self._class_seconds:
            return 0.0
        return self._class_arrivals[0] / self._class_seconds

    def count_arrival(self, priority: int) -> None:
        """Counts a call that asked to be admitted, whatever became of it."""
        self._class_arrivals[
            min(priority, self._top) // request_context.SHED_HASHES
        ] += 1.0
        self._arrivals[priority if priority < self._top else self._top] += 1.0

    def end_window(
        self, window_s: float, capacity_per_s: float, has_queue: bool
    ) -> None:
        """Moves the level.

        Args:
            window_s: Length of the window that ends.
            capacity_per_s: Calls a second that the endpoint can finish.
            has_queue: True if calls waited longer than the target or were
                shed by the queue.
        """
        if window_s >= IDLE_WINDOWS * self._window_s:
            self._reopen()
            return
        self._seconds += window_s
        self._class_seconds += window_s
        capacity = capacity_per_s * self._seconds
        if has_queue and capacity > 0.0:
            floor = self._find_floor(FITTING_SHARE * capacity_per_s)
            self._lower(HIGH_SHARE * capacity, floor)
        if self._level < self._top:
            windows = max(window_s / self._window_s, 1.0)
            most = int(min(MAXIMUM_STEP * windows, self._top))
            self._raise(LOW_SHARE * capacity, has_queue, most)
        self._arrivals = [HISTORY_DECAY * count for count in self._arrivals]
        self._seconds *= HISTORY_DECAY
        self._class_arrivals = [
            CLASS_HISTORY_DECAY * count for count in self._class_arrivals
        ]
        self._class_seconds *= CLASS_HISTORY_DECAY

    def _reopen(self) -> None:
        """Forgets what is older than an idle time and refuses nothing."""
        self._arrivals = [0.0] * len(self._arrivals)
        self._seconds = 0.0
        self._class_arrivals = [0.0] * len(self._class_arrivals)
        self._class_seconds = 0.0
        self._level = self._top

    def _find_floor(self, target_per_s: float) -> int:
        """Returns the level below which a burst alone does not lower it.

        The classes that fit into the capacity over a longer time are left to
        the queue.
        """
        passed = 0.0
        floor = 0
        for rank, count in enumerate(self._class_arrivals):
            passed += count
            if passed > target_per_s * self._class_seconds:
                break
            floor = (rank + 1) * request_context.SHED_HASHES - 1
        return floor

    def _lower(self, target: float, floor: int) -> None:
        passed = sum(self._arrivals[: self._level + 1])
        while self._level > floor and passed > target:
            passed -= self._arrivals[self._level]
            self._level -= 1

    def _raise(self, target: float, has_queue: bool, most: int) -> None:
        passed = sum(self._arrivals[: self._level + 1])
        if passed >= target:
            return
        step = most
        if passed > 0.0:
            per_priority = passed / (self._level + 1)
            share = CAUTIOUS_SHARE if has_queue else 1.0
            step = int(min(share * (target - passed) / per_priority, step))
        level = min(self._level + max(step, MINIMUM_STEP), self._top)
        if self._level < self._class_end <= level:
            level = self._class_end
        self._level = level

    @property
    def _class_end(self) -> int:
        """Lowest priority that still belongs to the class being shed."""
        hashes = request_context.SHED_HASHES
        return self._level // hashes * hashes + hashes - 1
