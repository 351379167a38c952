"""A baseline: credits that the receiver grants to its callers."""

ACTIVE_S = 1.0  # A caller that sent in this time gets a share.
WINDOW_S = 0.1
TARGET_S = 0.02
GROWTH_PER_SLOT = 0.05
MAXIMUM_CUT = 0.3
MAXIMUM_PER_SLOT = 4.0


class CreditPool:
    """Credits of one endpoint, shared evenly by its active callers.

    The sum grows while calls wait less than the target and is cut in
    proportion to the wait above it. A caller may have as many calls
    outstanding as its share, and always one.
    """

    def __init__(self, slots: int) -> None:
        """Starts with the slots."""
        self._slots = slots
        self._total = float(slots)
        self._active: dict[int, float] = {}
        self._worst_s = 0.0
        self._window_ends_s = WINDOW_S

    def note_wait(self, now_s: float, waited_s: float) -> None:
        """Learns how long a call waited here."""
        self._worst_s = max(self._worst_s, waited_s)
        if now_s < self._window_ends_s:
            return
        self._window_ends_s = now_s + WINDOW_S
        if self._worst_s <= TARGET_S:
            self._total += max(GROWTH_PER_SLOT * self._slots, 1.0)
        else:
            over = self._worst_s / TARGET_S - 1.0
            self._total *= 1.0 - min(0.1 * over, MAXIMUM_CUT)
        most = MAXIMUM_PER_SLOT * self._slots
        self._total = min(max(self._total, 1.0), most)
        self._worst_s = 0.0

    def get_share(self, now_s: float, caller: int) -> int:
        """Returns how many calls a caller may have outstanding."""
        self._active[caller] = now_s
        for known, seen_s in list(self._active.items()):
            if now_s - seen_s > ACTIVE_S:
                del self._active[known]
        return max(int(self._total / len(self._active)), 1)
