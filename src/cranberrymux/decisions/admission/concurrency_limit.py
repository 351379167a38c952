"""How many calls an endpoint runs at once."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import outcome as outcome_module

LATENCY_WEIGHT = 0.05  # Weight of one call in the mean latency.
CUT_ON_OVERLOAD = 0.8
GROWTH = 1.25
FULL_LOAD = 0.95
MINIMUM_LIMIT = 1


class ConcurrencyLimit:
    """The limit, capped by the announced slots."""

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        """Starts at the announced slots."""
        self._hint_life_s = settings.hint_life_s
        self._slots = max(settings.slots, MINIMUM_LIMIT)
        self._limit = float(self._slots)
        self._hold_s = 0.0
        self._overloads = 0
        self._full_until_s = float("-inf")

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return max(int(self._limit), MINIMUM_LIMIT)

    @property
    def hold_s(self) -> float:
        """Mean seconds that a call holds its slot; 0.0 before the first."""
        return self._hold_s

    def set_slots(self, slots: int) -> None:
        """Takes the slots that the backend server announces as the cap."""
        slots = max(slots, MINIMUM_LIMIT)
        self._limit *= slots / self._slots
        self._slots = slots

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Takes a load from 0.0 to 1.0; a full one stops growth for a while."""
        is_full = load >= FULL_LOAD
        self._full_until_s = now_s + self._hint_life_s if is_full else now_s

    def count(
        self, outcome: outcome_module.Outcome, hold_s: float, own_s: float
    ) -> None:
        """Learns from a finished call.

        Args:
            outcome: How it ended.
            hold_s: Seconds that it held its slot.
            own_s: The part that was not spent in deeper calls.
        """
        del own_s
        if outcome is outcome_module.Outcome.OVERLOADED:
            self._overloads += 1
        if outcome is not outcome_module.Outcome.OK:
            return
        if self._hold_s == 0.0:
            self._hold_s = hold_s
        self._hold_s += LATENCY_WEIGHT * (hold_s - self._hold_s)

    def end_window(self, now_s: float, peak: int) -> None:
        """Moves the limit.

        Args:
            now_s: Monotonic seconds.
            peak: Most calls that ran at once in the window.
        """
        if self._overloads:
            self._limit = max(self._limit * CUT_ON_OVERLOAD, MINIMUM_LIMIT)
        elif now_s >= self._full_until_s and peak >= self.limit:
            grown = max(self._limit * GROWTH, self._limit + 1)
            self._limit = min(grown, float(self._slots))
        self._overloads = 0
