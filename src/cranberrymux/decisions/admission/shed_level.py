"""The priority above which calls are refused."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.models import request_context

HISTORY_DECAY = 0.8  # Factor on past arrivals when a window ends.
CLASS_HISTORY_DECAY = 0.97  # The same for arrivals per class.
# Ratios of arrivals to capacity: up to the first a class fits, above the
# second the level is lowered, below the third it is raised.
FITTING_RATIO = 1.0
LOWER_ABOVE_RATIO = 1.15
RAISE_BELOW_RATIO = 1.05
QUEUED_RAISE_RATIO = 0.3  # Part of the gap closed per window while calls queue.
IDLE_WINDOWS = 10  # Idle time, in windows, after which history is dropped.
# Bounds of the rise of the level in one window.
MINIMUM_STEP_PRIORITIES = 2
MAXIMUM_STEP_PRIORITIES = 64
IDLE_SLACK_PRIORITIES = 64  # Above the level; these may use an idle slot.


class ShedLevel:
    """Matches the arrival rate to the rate at which calls can finish.

    Callers that know the level refuse calls above it before any work is done.
    The level admits slightly more than the endpoint can finish and the queue,
    which is ordered by priority, chooses among those calls. So no slot stays
    idle because the level is slightly too low.
    """

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        """Starts at the level that refuses nothing."""
        self._maximum_level = (
            settings.class_count * request_context.SHED_HASHES - 1
        )
        self._window_s = settings.window_s
        self._arrivals = [0.0] * (self._maximum_level + 1)
        self._history_s = 0.0
        self._class_arrivals = [0.0] * settings.class_count
        self._class_history_s = 0.0
        self._level = self._maximum_level

    @property
    def level(self) -> int:
        """Calls with a higher priority number are refused."""
        return self._level

    @property
    def maximum_level(self) -> int:
        """The level that refuses nothing: the highest priority number."""
        return self._maximum_level

    @property
    def idle_level(self) -> int:
        """The level that applies instead of `level` while slots are idle."""
        return min(self._level + IDLE_SLACK_PRIORITIES, self._maximum_level)

    @property
    def highest_class_per_s(self) -> float:
        """Arrivals per second of class rank 0, which is shed last."""
        if not self._class_history_s:
            return 0.0
        return self._class_arrivals[0] / self._class_history_s

    def count_arrival(self, priority: int) -> None:
        """Counts a call that asked to be admitted, whatever the decision."""
        self._class_arrivals[
            min(priority, self._maximum_level) // request_context.SHED_HASHES
        ] += 1.0
        self._arrivals[
            priority if priority < self._maximum_level else self._maximum_level
        ] += 1.0

    def end_window(
        self, window_s: float, capacity_per_s: float, has_queue: bool
    ) -> None:
        """Adjusts the level at the end of a measurement window.

        Args:
            window_s: Length of the window in seconds.
            capacity_per_s: Calls that the endpoint can finish per second.
            has_queue: True if calls waited longer than the target wait, or
                reached the maximum length or wait of the queue.
        """
        if window_s >= IDLE_WINDOWS * self._window_s:
            self._reopen()
            return
        self._history_s += window_s
        self._class_history_s += window_s
        capacity = capacity_per_s * self._history_s
        if has_queue and capacity > 0.0:
            floor = self._find_fitting_level(FITTING_RATIO * capacity_per_s)
            self._lower(LOWER_ABOVE_RATIO * capacity, floor)
        if self._level < self._maximum_level:
            windows = max(window_s / self._window_s, 1.0)
            maximum_step = int(
                min(MAXIMUM_STEP_PRIORITIES * windows, self._maximum_level)
            )
            self._raise(RAISE_BELOW_RATIO * capacity, has_queue, maximum_step)
        self._arrivals = [HISTORY_DECAY * count for count in self._arrivals]
        self._history_s *= HISTORY_DECAY
        self._class_arrivals = [
            CLASS_HISTORY_DECAY * count for count in self._class_arrivals
        ]
        self._class_history_s *= CLASS_HISTORY_DECAY

    def _reopen(self) -> None:
        """Drops the history, outdated after an idle time; refuses nothing."""
        self._arrivals = [0.0] * len(self._arrivals)
        self._history_s = 0.0
        self._class_arrivals = [0.0] * len(self._class_arrivals)
        self._class_history_s = 0.0
        self._level = self._maximum_level

    def _find_fitting_level(self, target_per_s: float) -> int:
        """Returns the level below which a burst alone must not lower it.

        A burst in the classes that fit into the capacity over a longer time is
        left to the queue.
        """
        admitted = 0.0
        floor = 0
        for rank, count in enumerate(self._class_arrivals):
            admitted += count
            if admitted > target_per_s * self._class_history_s:
                break
            floor = (rank + 1) * request_context.SHED_HASHES - 1
        return floor

    def _lower(self, target_arrivals: float, floor: int) -> None:
        admitted = sum(self._arrivals[: self._level + 1])
        while self._level > floor and admitted > target_arrivals:
            admitted -= self._arrivals[self._level]
            self._level -= 1

    def _raise(
        self, target_arrivals: float, has_queue: bool, maximum_step: int
    ) -> None:
        admitted = sum(self._arrivals[: self._level + 1])
        if admitted >= target_arrivals:
            return
        step = maximum_step
        if admitted > 0.0:
            per_priority = admitted / (self._level + 1)
            closed_ratio = QUEUED_RAISE_RATIO if has_queue else 1.0
            step = int(
                min(
                    closed_ratio * (target_arrivals - admitted) / per_priority,
                    step,
                )
            )
        level = min(
            self._level + max(step, MINIMUM_STEP_PRIORITIES),
            self._maximum_level,
        )
        if self._level < self._shed_class_end <= level:
            level = self._shed_class_end
        self._level = level

    @property
    def _shed_class_end(self) -> int:
        """Highest priority number of the class that is being shed."""
        hashes = request_context.SHED_HASHES
        return self._level // hashes * hashes + hashes - 1
