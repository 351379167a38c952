"""The share of the offered work that one backend server can take.

Guards against overload of a service that is called by many trees. The work
that arrives, refused calls included, is compared with the slots and the rate
limit, and the share that fits is sent back to the nodes where the trees start.
"""

import math

from cranberrymux.decisions.pressure import fair_shares
from cranberrymux.decisions.pressure import held_ratio

WINDOW_S = 0.1
TARGET_UTILIZATION = 0.95  # Share of the slots that admitted work may use.
SHARE_STEP_RATIO = 0.5  # Part of the gap closed per window.
MAXIMUM_GROWTH_FACTOR = 1.25  # Per window.
MINIMUM_SHARE = 0.01
QUEUE_DRAIN_TIME_S = 0.3  # Time in which the queue is to be emptied.
# The same where accounts share. Swings of the level would hold back accounts
# that request little less than it.
ACCOUNTS_DRAIN_TIME_S = 0.8
# Of the mean rate of arrivals. A rate limit may be below one request a window.
RATE_TIME_CONSTANT_S = 1.0
# Change of the capacity to be divided among accounts, per window. Demand is
# underestimated while trees fail early, and after it has risen.
CORRECTION_EXPONENT = 0.05
MINIMUM_CORRECTION = 0.8
MAXIMUM_CORRECTION = 1.15
# Least part of the offered work that is taken to hold slots.
MINIMUM_HELD_RATIO = 0.05
WORK_WEIGHT = 0.2  # Weight of one window in the mean work of a request.
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
        self._mean_work_s = 0.0
        self._correction = 1.0
        self._held_ratio = held_ratio.HeldRatio()
        self._fair_shares = fair_shares.FairShares()

    @property
    def utilization(self) -> float:
        """Offered work per slot and second in the last window; 1.0 is full.

        Without what the backend server itself refuses.
        """
        return self._utilization

    @property
    def accounts(self) -> fair_shares.FairShares:
        """Shares of the client accounts."""
        return self._fair_shares

    def get_account_share(self, key: fair_shares.AccountKey) -> float | None:
        """Returns the share of an account's work that fits.

        None while the share is 1.0 or no request has an account.
        """
        if self.share >= 1.0 or not self._fair_shares.is_in_use:
            return None
        return self._fair_shares.get_share(key)

    def note_arrival(
        self,
        route: str,
        share: float,
        key: fair_shares.AccountKey = fair_shares.NO_ACCOUNT,
        offered: int = 1,
    ) -> None:
        """Counts a request that asks for a slot, whatever the decision.

        Args:
            route: Name of its route.
            share: Share of the offered work that was admitted where its tree
                started, 0.0 to 1.0.
            key: Account of its tree.
            offered: Number of trees that this one stands for: itself and those
                of its account that were refused there before it.
        """
        work_s = self._hold_s.get(route, 0.0)
        self._work_s += work_s
        self._admitted_work_s += work_s * share
        self._arrivals += 1
        self._admitted_arrivals += share
        if key.name or self._fair_shares.is_in_use:
            self._fair_shares.note_arrival(key, work_s, offered)

    def note_backend_refusal(self, route: str) -> None:
        """Notes that the backend server itself refused a counted request.

        It held no slot, so that the work that was expected of it is no reason
        to let in fewer.
        """
        self._held_ratio.note_refused(self._hold_s.get(route, 0.0))

    def note_refusal(
        self, route: str, key: fair_shares.AccountKey, offered: int
    ) -> None:
        """Counts a request that got no slot and was counted as an arrival.

        Args:
            route: Name of its route.
            key: Account of its tree.
            offered: See `note_arrival`.
        """
        if self._fair_shares.is_in_use:
            work_s = self._hold_s.get(route, 0.0)
            self._fair_shares.note_refusal(key, work_s, offered)

    def note_hold(self, route: str, hold_s: float) -> None:
        """Records for how long a request of a route held its slot."""
        mean_s = self._hold_s.get(route, hold_s)
        self._hold_s[route] = mean_s + HOLD_TIME_WEIGHT * (hold_s - mean_s)

    def get_hold_s(self, route: str) -> float:
        """Returns the mean time for which requests of a route hold a slot."""
        return self._hold_s.get(route, 0.0)

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
        self._held_ratio.roll(elapsed_s, self._work_s)
        held_work_s = self._work_s * self._held_ratio.value
        self._utilization = held_work_s / (slots * elapsed_s)
        fitting_share = 1.0
        queue_utilization = waiting_s / slots / QUEUE_DRAIN_TIME_S
        if self._fair_shares.is_in_use:
            fitting_share = self._divide(
                elapsed_s, slots, queue_utilization, limit_per_s
            )
            limit_per_s = None
        elif self._work_s > 0.0:
            admitted_share = self._admitted_work_s / self._work_s
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

    def _divide(
        self,
        elapsed_s: float,
        slots: int,
        queue_utilization: float,
        limit_per_s: float | None,
    ) -> float:
        """Divides what fits among the accounts; returns the share of the sum.

        How much is requested follows from each account's own share, since trees
        are no longer admitted alike.
        """
        capacity_per_s = TARGET_UTILIZATION * slots
        if self._arrivals:
            mean_s = self._work_s / self._arrivals
            self._mean_work_s += WORK_WEIGHT * (mean_s - self._mean_work_s)
        if limit_per_s is not None:
            limit_work_s = TARGET_UTILIZATION * limit_per_s * self._mean_work_s
            capacity_per_s = min(capacity_per_s, limit_work_s)
        fitting_per_s = capacity_per_s * self._correct(
            capacity_per_s / slots, queue_utilization
        )
        held = max(self._held_ratio.value, MINIMUM_HELD_RATIO)
        capacity_per_s /= held
        fitting_per_s /= held
        self._fair_shares.roll(elapsed_s, capacity_per_s, fitting_per_s)
        offered_per_s = self._fair_shares.offered_per_s
        return min(1.0, fitting_per_s / max(offered_per_s, 1e-6))

    def _correct(
        self, target_utilization: float, queue_utilization: float
    ) -> float:
        """Returns the factor by which more or less work is let in."""
        used = max(self._utilization, 1e-3)
        queue_utilization *= QUEUE_DRAIN_TIME_S / ACCOUNTS_DRAIN_TIME_S
        room = used / (used + queue_utilization)
        ratio = target_utilization * room / used
        self._correction *= ratio**CORRECTION_EXPONENT
        self._correction = min(
            max(self._correction, MINIMUM_CORRECTION), MAXIMUM_CORRECTION
        )
        return room * self._correction

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
