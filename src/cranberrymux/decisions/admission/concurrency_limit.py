"""Adaptive limit on the number of calls that an endpoint runs at once."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import latency_probe
from cranberrymux.decisions.admission import outcome as outcome_module

HOLD_TIME_WEIGHT = 0.05  # Weight of one call in the mean hold time.
OVERLOAD_CUT_FACTOR = 0.8
TRIAL_CUT_FACTOR = 0.75
ARRIVALS_HEADROOM_RATIO = 1.25  # Allows for bursts above the mean arrival rate.
GROWTH_FACTOR = 1.25
FULL_LOAD_HINT = 0.95
MINIMUM_LIMIT = 1

_Advice = latency_probe.Advice


class ConcurrencyLimit:
    """A concurrency limit learned from latency and outcomes.

    The announced number of slots is its upper bound. It is lowered when the
    backend server sheds calls or times out, or when a lower limit shortens
    latency. In each window in which it was reached it grows by a quarter, so
    that it is back at the slots within a second or two.
    """

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        """Sets the limit to the configured number of slots."""
        self._hint_ttl_s = settings.hint_ttl_s
        self._slots = max(settings.slots, MINIMUM_LIMIT)
        self._limit = float(self._slots)
        self._probe = latency_probe.LatencyProbe()
        self._mean_hold_s = 0.0
        self._overloads = 0
        self._growth_paused_until_s = float("-inf")

    @property
    def limit(self) -> int:
        """Number of calls that may run at once, at least 1."""
        return max(int(self._limit), MINIMUM_LIMIT)

    @property
    def mean_hold_s(self) -> float:
        """Mean time a call holds its slot, in seconds; 0.0 before any ended."""
        return self._mean_hold_s

    def set_slots(self, slots: int) -> None:
        """Changes the upper bound and scales the limit in proportion."""
        slots = max(slots, MINIMUM_LIMIT)
        self._limit *= slots / self._slots
        self._slots = slots

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Pauses growth while the backend server reports full load.

        Args:
            now_s: Monotonic seconds.
            load: Load that the backend server reports, 0.0 to 1.0. Full load
                stops growth for `hint_ttl_s`; less load ends the pause.
        """
        is_full = load >= FULL_LOAD_HINT
        self._growth_paused_until_s = (
            now_s + self._hint_ttl_s if is_full else now_s
        )

    def record(
        self, outcome: outcome_module.Outcome, hold_s: float, own_s: float
    ) -> None:
        """Records a finished call.

        Args:
            outcome: How the call ended.
            hold_s: Seconds for which it held its slot.
            own_s: The part of `hold_s` not spent in downstream calls.
        """
        if outcome is outcome_module.Outcome.OVERLOADED:
            self._overloads += 1
        if outcome is not outcome_module.Outcome.OK:
            return
        self._probe.record(own_s)
        if self._mean_hold_s == 0.0:
            self._mean_hold_s = hold_s
        self._mean_hold_s += HOLD_TIME_WEIGHT * (hold_s - self._mean_hold_s)

    def end_window(
        self, now_s: float, peak: int, highest_class_per_s: float = 0.0
    ) -> None:
        """Adjusts the limit at the end of a measurement window.

        Args:
            now_s: Monotonic seconds.
            peak: Largest number of calls that ran at once in the window.
            highest_class_per_s: Arrivals per second of the most important
                class, for which a trial cut must leave enough slots; 0.0 if
                unknown.
        """
        is_full = peak >= self.limit
        maximum_latency_s = float("inf")
        if highest_class_per_s:
            cut_limit = self.limit * TRIAL_CUT_FACTOR
            maximum_latency_s = cut_limit / (
                ARRIVALS_HEADROOM_RATIO * highest_class_per_s
            )
        may_cut = is_full and self._mean_hold_s < maximum_latency_s
        advice = self._probe.evaluate(self.limit, may_cut, maximum_latency_s)
        if self._overloads:
            self._cut(OVERLOAD_CUT_FACTOR)
        elif advice is _Advice.CUT:
            self._cut(TRIAL_CUT_FACTOR)
        elif advice is _Advice.REOPEN:
            self._limit = float(self._slots)
        elif advice is _Advice.GROW and is_full:
            self._grow(now_s)
        self._overloads = 0

    def _cut(self, factor: float) -> None:
        self._limit = max(self._limit * factor, MINIMUM_LIMIT)

    def _grow(self, now_s: float) -> None:
        if now_s < self._growth_paused_until_s:
            return
        grown = max(self._limit * GROWTH_FACTOR, self._limit + 1)
        self._limit = min(grown, float(self._slots))
