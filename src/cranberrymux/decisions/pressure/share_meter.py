"""The share of the offered work that one backend server can take.

Answers the pattern in which the calls of many trees meet at a deep service:
the work that arrives there, refused calls too, is set against the slots, and
the share that fits is told to the nodes where the trees begin.
"""

WINDOW_S = 0.1
TARGET_USE = 0.95  # Part of the slots that admitted work may take.
MOVE = 0.5  # Part of the way to the share that fits, window by window.
LARGEST_GROWTH = 1.25  # In one window.
LEAST_SHARE = 0.01
EXCESS_TIME_S = 0.3  # Time in which a queue is to be worked off.
HOLD_WEIGHT = 0.05  # Weight of one request in the mean time of a route.


class ShareMeter:
    """Moves the share window by window.

    Every arrival tells under which share its tree was let in. So the share
    that would have fitted is known at once, however long the way was.
    """

    def __init__(self, now_s: float) -> None:
        """Starts open.

        Args:
            now_s: Present time.
        """
        self._share = 1.0
        self._window_s = now_s
        self._work_s = 0.0
        self._shared_work_s = 0.0
        self._hold_s: dict[str, float] = {}
        self._use = 0.0

    @property
    def share(self) -> float:
        """Share of the offered work that fits, 0 to 1."""
        return self._share

    @property
    def use(self) -> float:
        """Work that arrived in the last window for each slot."""
        return self._use

    def note_arrival(self, route: str, share: float) -> None:
        """Counts a request that asks for a slot, whatever becomes of it.

        Args:
            route: Name of its route.
            share: Share of the offered work that was let in where its tree
                began.
        """
        work_s = self._hold_s.get(route, 0.0)
        self._work_s += work_s
        self._shared_work_s += work_s * share

    def note_hold(self, route: str, hold_s: float) -> None:
        """Learns how long a request of a route holds its slot."""
        known = self._hold_s.get(route, hold_s)
        self._hold_s[route] = known + HOLD_WEIGHT * (hold_s - known)

    def roll(self, now_s: float, slots: int, waiting_s: float) -> None:
        """Moves the share if a window is over.

        Args:
            now_s: Present time.
            slots: Requests that run at once.
            waiting_s: Work of the requests that wait for a slot.
        """
        span_s = now_s - self._window_s
        if span_s < WINDOW_S:
            return
        self._use = self._work_s / (slots * span_s)
        fitting = 1.0
        if self._work_s > 0.0:
            let_in = self._shared_work_s / self._work_s
            excess = waiting_s / slots / EXCESS_TIME_S
            fitting = let_in * TARGET_USE / max(self._use + excess, 1e-3)
        moved = self._share + MOVE * (fitting - self._share)
        moved = min(moved, self._share * LARGEST_GROWTH, 1.0)
        self._share = max(LEAST_SHARE, moved)
        self._window_s = now_s
        self._work_s = 0.0
        self._shared_work_s = 0.0
