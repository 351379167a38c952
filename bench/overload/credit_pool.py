"""Baseline admission by credits, at the receiver."""

# A caller is active for so long after its last answer.
ACTIVE_PERIOD_S = 1.0
WINDOW_S = 0.1
TARGET_WAIT_S = 0.02
GROWTH_CREDITS_PER_SLOT = 0.05
MAXIMUM_CUT_SHARE = 0.3
MAXIMUM_CREDITS_PER_SLOT = 4.0


class CreditPool:
    """Credits of one endpoint, split evenly among its active callers.

    Once per `WINDOW_S`, the total grows if no call waited longer than
    `TARGET_WAIT_S`, and is cut in proportion to the longest wait above it
    otherwise. A caller may have as many calls in flight as its share, and
    always one.
    """

    def __init__(self, slots: int) -> None:
        """Starts with one credit per slot."""
        self._slots = slots
        self._total = float(slots)
        self._active: dict[int, float] = {}
        self._longest_wait_s = 0.0
        self._window_ends_s = WINDOW_S

    def record_wait(self, now_s: float, waited_s: float) -> None:
        """Records how long a call waited for its slot."""
        self._longest_wait_s = max(self._longest_wait_s, waited_s)
        if now_s < self._window_ends_s:
            return
        self._window_ends_s = now_s + WINDOW_S
        if self._longest_wait_s <= TARGET_WAIT_S:
            self._total += max(GROWTH_CREDITS_PER_SLOT * self._slots, 1.0)
        else:
            excess = self._longest_wait_s / TARGET_WAIT_S - 1.0
            self._total *= 1.0 - min(0.1 * excess, MAXIMUM_CUT_SHARE)
        maximum = MAXIMUM_CREDITS_PER_SLOT * self._slots
        self._total = min(max(self._total, 1.0), maximum)
        self._longest_wait_s = 0.0

    def get_share(self, now_s: float, caller: int) -> int:
        """Returns how many calls a caller may have in flight, at least 1."""
        self._active[caller] = now_s
        for other, seen_s in list(self._active.items()):
            if now_s - seen_s > ACTIVE_PERIOD_S:
                del self._active[other]
        return max(int(self._total / len(self._active)), 1)
