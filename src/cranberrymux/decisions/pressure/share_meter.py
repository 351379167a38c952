"""The share of the offered work that one backend server can take.

Guards against overload of a service that is called by many trees. The work
that arrives, refused calls included, is compared with the slots and the rate
limit, and the share that fits is sent back to the nodes where the trees start.
"""

import math

WINDOW_S = 0.1
TARGET_UTILIZATION = 0.95  # Share of the slots that admitted work may use.
SHARE_STEP_RATIO = 0.5  # Part of the gap closed per window.
MAXIMUM_GROWTH_FACTOR = 1.25  # Per window.
MINIMUM_SHARE = 0.01
QUEUE_DRAIN_TIME_S = 0.3  # Time in which the queue is to be emptied.
# Of the mean rate of arrivals. A rate limit may be below one request a window.
RATE_TIME_CONSTANT_S = 1.0
HOLD_TIME_WEIGHT = 0.05  # Weight of one request in the mean of its route.


class ShareMeter:
    """Computes the fitting share at the end of each window.

    Every arrival carries the share under which its tree was admitted. So the
    share that would have fitted follows directly, however long a changed share
    takes to have an effect here.

    Attributes:
        share: Share of the offered work that fits, `MINIMUM_SHARE` to 1.0.
    """

    def __init__(self, now_s: float) -> None:
        """Starts with a share of 1.0.

        Args:
            now_s: Monotonic seconds.
        """
        self.share = 1.0
        self._window_began_s = now_s
        self._work_s = 0.0
        self._admitted_work_s = 0.0
        self._hold_s: dict[str, float] = {}
        self._utilization = 0.0
        self._arrivals = 0
        self._admitted_arrivals = 0.0
        self._per_s = 0.0
        self._admitted_per_s = 0.0

    @property
    def utilization(self) -> float:
        """Offered work per slot and second in the last window; 1.0 is full."""
        return self._utilization

    def note_arrival(self, route: str, share: float) -> None:
        """Counts a request that asks for a slot, whatever the decision.

        Args:
            route: Name of its route.
            share: Share of the offered work that was admitted where its tree
                started, 0.0 to 1.0.
        """
        work_s = self._hold_s.get(route, 0.0)
        self._work_s += work_s
        self._admitted_work_s += work_s * share
        self._arrivals += 1
        self._admitted_arrivals += share

    def note_hold(self, route: str, hold_s: float) -> None:
        """Records for how long a request of a route held its slot."""
        mean_s = self._hold_s.get(route, hold_s)
        self._hold_s[route] = mean_s + HOLD_TIME_WEIGHT * (hold_s - mean_s)

    def is_due(self, now_s: float) -> bool:
        """True if the window has ended, so that `roll` has an effect."""
        return now_s - self._window_began_s >= WINDOW_S

    def reset(self) -> None:
        """Returns the share to 1.0, as the rate limit that lowered it ended."""
        self.share = 1.0

    def roll(
        self,
        now_s: float,
        slots: int,
        waiting_s: float,
        limit_per_s: float | None = None,
    ) -> None:
        """Ends the window if it is due and updates the share.

        Args:
            now_s: Monotonic seconds.
            slots: Number of requests that may run at once.
            waiting_s: Expected work, in seconds, of the requests that wait for
                a slot.
            limit_per_s: Requests a second that the backend server accepts; None
                for any number.
        """
        elapsed_s = now_s - self._window_began_s
        if elapsed_s < WINDOW_S:
            return
        self._utilization = self._work_s / (slots * elapsed_s)
        fitting_share = 1.0
        if self._work_s > 0.0:
            admitted_share = self._admitted_work_s / self._work_s
            queue_utilization = waiting_s / slots / QUEUE_DRAIN_TIME_S
            fitting_share = (
                admitted_share
                * TARGET_UTILIZATION
                / max(self._utilization + queue_utilization, 1e-3)
            )
        self._update_rates(elapsed_s)
        if limit_per_s is not None:
            fitting_share = min(fitting_share, self._fit_limit(limit_per_s))
        share = self.share + SHARE_STEP_RATIO * (fitting_share - self.share)
        share = min(share, self.share * MAXIMUM_GROWTH_FACTOR, 1.0)
        self.share = max(MINIMUM_SHARE, share)
        self._window_began_s = now_s
        self._work_s = 0.0
        self._admitted_work_s = 0.0

    def _update_rates(self, elapsed_s: float) -> None:
        weight = 1.0 - math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        self._per_s += weight * (self._arrivals / elapsed_s - self._per_s)
        self._admitted_per_s += weight * (
            self._admitted_arrivals / elapsed_s - self._admitted_per_s
        )
        self._arrivals = 0
        self._admitted_arrivals = 0.0

    def _fit_limit(self, limit_per_s: float) -> float:
        """Returns the share of the offered work that a rate limit lets in."""
        if self._per_s <= 0.0:
            return 1.0
        admitted_share = self._admitted_per_s / self._per_s
        return admitted_share * TARGET_UTILIZATION * limit_per_s / self._per_s
