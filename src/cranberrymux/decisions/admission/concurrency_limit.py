"""How many calls an endpoint runs at once."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import latency_probe
from cranberrymux.decisions.admission import outcome as outcome_module

HOLD_WEIGHT = 0.05  # Weight of one call in the mean time of a slot.
CUT_ON_OVERLOAD = 0.8
CUT_ON_LATENCY = 0.75
NEEDED_HEADROOM = 1.25  # Room for bursts above the mean arrivals.
GROWTH = 1.25
FULL_LOAD = 0.95
MINIMUM_LIMIT = 1

_Advice = latency_probe.Advice


class ConcurrencyLimit:
    """The limit, learned from latency and outcome, capped by the slots.

    It falls when the backend server sheds or times out, or when fewer calls
    at once make it faster. It grows by a quarter in each window in which it
    was reached, so that it is open again within a second or two.
    """

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        """Starts at the announced slots."""
        self._hint_life_s = settings.hint_life_s
        self._slots = max(settings.slots, MINIMUM_LIMIT)
        self._limit = float(self._slots)
        self._probe = latency_probe.LatencyProbe()
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
        if outcome is outcome_module.Outcome.OVERLOADED:
            self._overloads += 1
        if outcome is not outcome_module.Outcome.OK:
            return
        self._probe.count(own_s)
        if self._hold_s == 0.0:
            self._hold_s = hold_s
        self._hold_s += HOLD_WEIGHT * (hold_s - self._hold_s)

    def end_window(
        self, now_s: float, peak: int, needed_per_s: float = 0.0
    ) -> None:
        """Moves the limit.

        Args:
            now_s: Monotonic seconds.
            peak: Most calls that ran at once in the window.
            needed_per_s: Arrivals of the most important class, for which a
                trial cut of the limit must leave room.
        """
        is_full = peak >= self.limit
        longest_s = float("inf")
        if needed_per_s:
            cut = self.limit * CUT_ON_LATENCY
            longest_s = cut / (NEEDED_HEADROOM * needed_per_s)
        may_cut = is_full and self._hold_s < longest_s
        advice = self._probe.judge(self.limit, may_cut, longest_s)
        if self._overloads:
            self._cut(CUT_ON_OVERLOAD)
        elif advice is _Advice.CUT:
            self._cut(CUT_ON_LATENCY)
        elif advice is _Advice.REOPEN:
            self._limit = float(self._slots)
        elif advice is _Advice.GROW and is_full:
            self._grow(now_s)
        self._overloads = 0

    def _cut(self, factor: float) -> None:
        self._limit = max(self._limit * factor, MINIMUM_LIMIT)

    def _grow(self, now_s: float) -> None:
        if now_s < self._full_until_s:
            return
        grown = max(self._limit * GROWTH, self._limit + 1)
        self._limit = min(grown, float(self._slots))
