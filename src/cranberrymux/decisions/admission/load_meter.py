"""Adjusts the limits of one endpoint from windowed measurements."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import concurrency_limit
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import shed_level
from cranberrymux.decisions.admission import window

# Weights in the reported load of slots in use, queue and shed priorities.
SLOTS_WEIGHT = 0.8
QUEUE_WEIGHT = 0.1
SHED_WEIGHT = 0.1


class LoadMeter:
    """Updates the concurrency limit and the shed level after each window.

    The values read for every call are plain attributes; they change only when
    a window ends or slots are announced.

    Attributes:
        limit: Number of calls that may run at once.
        level: Shed level: calls with a higher priority number are refused.
        idle_level: Shed level that applies while slots are idle; at least
            `level`.
        maximum_level: The level that refuses nothing.
        window_ends_s: Monotonic seconds from which `roll` ends the window.
    """

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        """Starts at the configured slots, refusing nothing."""
        self._window_s = settings.window_s
        self._target_wait_s = settings.target_wait_s
        self._limit = concurrency_limit.ConcurrencyLimit(settings)
        self._level = shed_level.ShedLevel(settings)
        self._window = window.Window(float("-inf"))
        self.window_ends_s = float("-inf")
        self.maximum_level = self._level.maximum_level
        self._refresh()

    @property
    def mean_hold_s(self) -> float:
        """Mean time a call holds its slot, in seconds; 0.0 before any ended."""
        return self._limit.mean_hold_s

    @property
    def capacity_per_s(self) -> float:
        """Calls that can finish per second; 0.0 before the first ended."""
        mean_hold_s = self._limit.mean_hold_s
        return self.limit / mean_hold_s if mean_hold_s else 0.0

    def compute_load(self, running: int, queue_share: float) -> float:
        """Computes the load by which callers choose an endpoint.

        Slots in use count most; the queue and the shed level distinguish
        endpoints whose slots are all in use. Unlike the load that the backend
        server reports, this value is neither delayed nor wrong.

        Args:
            running: Number of calls that hold a slot.
            queue_share: Queue length divided by its maximum.

        Returns:
            The load, 0.0 to 1.0.
        """
        slots_share = min(running / self.limit, 1.0)
        shed_share = 1.0 - self.level / self.maximum_level
        excess = QUEUE_WEIGHT * min(queue_share, 1.0) + SHED_WEIGHT * shed_share
        return SLOTS_WEIGHT * slots_share + excess

    def set_slots(self, slots: int) -> None:
        """Applies the announced slots at once."""
        self._limit.set_slots(slots)
        self._refresh()

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Passes the reported load, 0.0 to 1.0, to the concurrency limit."""
        self._limit.set_load_hint(now_s, load)

    def count_arrival(self, priority: int) -> None:
        """Counts a call that asked to be admitted, whatever the decision."""
        self._level.count_arrival(priority)

    def count_start(self, waited_s: float, in_flight: int) -> None:
        """Counts a call that got a slot after `waited_s` in the queue."""
        self._window.count_start(waited_s, in_flight)

    def count_shed(self) -> None:
        """Counts a call that reached the maximum queue length or wait."""
        self._window.shed += 1

    def count_finish(
        self, outcome: outcome_module.Outcome, hold_s: float, own_s: float
    ) -> None:
        """Records a call that freed its slot; see `ConcurrencyLimit.record`."""
        self._limit.record(outcome, hold_s, own_s)

    def roll(self, now_s: float, head_wait_s: float) -> None:
        """Ends the window if it is due and updates limit and levels.

        Args:
            now_s: Monotonic seconds.
            head_wait_s: Seconds that the call at the head of the queue has
                waited.
        """
        if now_s < self.window_ends_s:
            return
        elapsed_s = now_s - self._window.began_s
        ended = self._window
        self._window = window.Window(now_s)
        self.window_ends_s = now_s + self._window_s
        if elapsed_s == float("inf"):
            return
        wait_s = max(ended.mean_wait_s, head_wait_s)
        has_queue = wait_s > self._target_wait_s or ended.shed > 0
        self._level.end_window(elapsed_s, self.capacity_per_s, has_queue)
        self._limit.end_window(
            now_s, ended.peak, self._level.highest_class_per_s
        )
        self._refresh()

    def _refresh(self) -> None:
        self.limit = self._limit.limit
        self.level = self._level.level
        self.idle_level = self._level.idle_level
