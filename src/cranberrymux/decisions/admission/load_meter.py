"""Measures the load of one endpoint, window by window."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import concurrency_limit
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import shed_level
from cranberrymux.decisions.admission import window


class LoadMeter:
    """Moves the concurrency limit and the level at the end of each window.

    What each call needs stands in plain attributes, which change only when a
    window ends or slots are announced.

    Attributes:
        limit: Calls that may run at once.
        level: Calls with a priority above this are refused.
        idle_level: Calls above this are refused beside idle slots too.
        top: The level that refuses nothing.
        window_ends_s: When `roll` has something to do.
    """

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        """Starts at the announced slots, open."""
        self._window_s = settings.window_s
        self._target_wait_s = settings.target_wait_s
        self._limit = concurrency_limit.ConcurrencyLimit(settings)
        self._level = shed_level.ShedLevel(settings)
        self._window = window.Window(float("-inf"))
        self.window_ends_s = float("-inf")
        self.top = self._level.top
        self._refresh()

    @property
    def hold_s(self) -> float:
        """Mean seconds that a call holds its slot; 0.0 before the first."""
        return self._limit.hold_s

    @property
    def capacity_per_s(self) -> float:
        """Calls a second that can finish; 0.0 before the first."""
        hold_s = self._limit.hold_s
        return self.limit / hold_s if hold_s else 0.0

    def set_slots(self, slots: int) -> None:
        """Takes the announced slots."""
        self._limit.set_slots(slots)
        self._refresh()

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Takes a load from 0.0 to 1.0 as a hint."""
        self._limit.set_load_hint(now_s, load)

    def count_arrival(self, priority: int) -> None:
        """Counts a call that asked to be admitted."""
        self._level.count_arrival(priority)

    def count_start(self, waited_s: float, in_flight: int) -> None:
        """Counts a call that got a slot."""
        self._window.count_start(waited_s, in_flight)

    def count_shed(self) -> None:
        """Counts a call that the queue cost."""
        self._window.shed += 1

    def count_finish(
        self, outcome: outcome_module.Outcome, hold_s: float, own_s: float
    ) -> None:
        """Counts a call that freed its slot; see `ConcurrencyLimit.count`."""
        self._limit.count(outcome, hold_s, own_s)

    def roll(self, now_s: float, head_wait_s: float) -> None:
        """Ends the window if its time is over.

        Args:
            now_s: Monotonic seconds.
            head_wait_s: Seconds that the first queued call has waited.
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
        self._limit.end_window(now_s, ended.peak, self._level.first_class_per_s)
        self._refresh()

    def _refresh(self) -> None:
        self.limit = self._limit.limit
        self.level = self._level.level
        self.idle_level = self._level.idle_level
