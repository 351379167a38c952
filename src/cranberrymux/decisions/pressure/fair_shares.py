"""Max-min fair shares of the accounts that need one endpoint.

Guards against an account that sends many times its usual rate and takes the
capacity from the others. Within one priority, accounts that request less than
the common level get all of it, and the larger ones that level each.
"""

from typing import NamedTuple

from cranberrymux.decisions.pressure import demand_rate
from cranberrymux.decisions.pressure import rank_allotment
from cranberrymux.decisions.pressure import water_level

MAXIMUM_ACCOUNTS = 256
# Accounts counted apart until the next roll, which keeps the largest.
MAXIMUM_NEW_ACCOUNTS = 256
# Smallest share of an account in terms of the share of its priority. It lets
# large accounts notice that capacity is there again.
MINIMUM_SHARE_RATIO = 0.3
# The same share in the queue, where it is a weight. It is larger, since the
# demand of an account whose trees fail early is underestimated: with 0.3 the
# account in a burst got 0.195 of the mean, with 0.5 accounts below the fair
# share lost up to 5% of their requests.
QUEUE_SHARE_RATIO = 0.4
# Further requests for which one counts that is refused here. Its tree fails if
# no other endpoint takes it, and the calls that the tree would have made never
# arrive. With 0.25 the account in a burst got 0.229 of the mean, with 0.75
# accounts below the fair share lost up to 4% of their requests.
REFUSED_REQUESTS = 0.5
MAXIMUM_OFFERED = 1000  # Requests that one may stand for.
# An account that requests up to this many times the level is not held back, as
# the measured demand varies and may exceed the true one.
TOLERANCE_RATIO = 1.2
_NEGLIGIBLE_PER_S = 1e-6


class AccountKey(NamedTuple):
    """Whose requests count together.

    Attributes:
        priority: Rank of their trees (`accounts/request_rank.py`).
        name: Name of the account; for trees without one, a slash and the route
            of their roots.
    """

    priority: int
    name: str


NO_ACCOUNT = AccountKey(0, "")


class HeldBack(NamedTuple):
    """An account that gets less than it requests.

    Attributes:
        key: The account and the priority of its requests.
        per_s: Seconds of work that it requests a second.
        share: Share of that which it gets, 0.0 to 1.0.
    """

    key: AccountKey
    per_s: float
    share: float


class FairShares:
    """Demands of the accounts and their shares.

    The demand follows from the requests that arrive, each of which tells how
    many were refused before it where it entered. So it is known wherever and at
    however many nodes an account enters.

    Attributes:
        is_in_use: True while requests of named accounts arrive.
    """

    def __init__(self) -> None:
        """Starts without demand, all shares at 1.0."""
        self._demands: dict[AccountKey, demand_rate.DemandRate] = {}
        self._rests: dict[int, demand_rate.DemandRate] = {}
        self._shares: dict[AccountKey, float] = {}
        self._rest_shares: dict[int, float] = {}
        self._weights: dict[AccountKey, float] = {}
        self.is_in_use = False

    @property
    def offered_per_s(self) -> float:
        """Seconds of work that all accounts request a second."""
        demands = (*self._demands.values(), *self._rests.values())
        return sum(demand.per_s for demand in demands)

    @property
    def held_back_count(self) -> int:
        """Number of accounts that get less than they request."""
        return sum(1 for share in self._shares.values() if share < 1.0)

    @property
    def tracked(self) -> int:
        """Number of accounts with a demand of their own."""
        return len(self._demands)

    def note_arrival(
        self, key: AccountKey, work_s: float, offered: int
    ) -> None:
        """Counts a request.

        Args:
            key: Whose it is.
            work_s: Expected work in seconds.
            offered: Number of requests that it stands for, at least 1.
        """
        self.is_in_use = self.is_in_use or bool(key.name)
        demand = self._demands.get(key)
        if demand is None:
            if len(self._demands) < MAXIMUM_ACCOUNTS + MAXIMUM_NEW_ACCOUNTS:
                demand = self._demands[key] = demand_rate.DemandRate()
            else:
                demand = self._find_rest(key.priority)
        demand.note(work_s * min(max(offered, 1), MAXIMUM_OFFERED))

    def note_refusal(
        self, key: AccountKey, work_s: float, offered: int
    ) -> None:
        """Counts the requests that do not arrive as one is refused here.

        Only for accounts with a weight above 1.0, which take their smallest
        share of too low a sum. Counted for all accounts, it lowered goodput
        at 1.3 times the capacity below 0.97 of that without fair shares.

        Args:
            key: Whose it is.
            work_s: Expected work of the refused request in seconds.
            offered: See `note_arrival`.
        """
        if key in self._weights:
            self.note_arrival(key, REFUSED_REQUESTS * work_s, offered)

    def get_share(self, key: AccountKey) -> float:
        """Returns the share of an account's requests that fits."""
        share = self._shares.get(key)
        if share is None:
            return self._rest_shares.get(key.priority, 1.0)
        return share

    def get_weight(self, key: AccountKey) -> float:
        """Returns how many requests start for each one of other accounts.

        It is above 1.0 for the largest accounts, whose smallest share of what
        they request is more than the level. Otherwise the queue would refuse
        calls of the trees that this share let in.
        """
        return self._weights.get(key, 1.0)

    def list_held_back(self, limit: int) -> list[HeldBack]:
        """Returns the largest accounts that get less than they request."""
        held = [
            HeldBack(key, self._demands[key].per_s, share)
            for key, share in self._shares.items()
            if share < 1.0
        ]
        held.sort(key=lambda account: -account.per_s)
        return held[:limit]

    def roll(
        self, elapsed_s: float, capacity_per_s: float, fitting_per_s: float
    ) -> None:
        """Ends a window and computes the shares.

        Args:
            elapsed_s: Length of the window in seconds.
            capacity_per_s: Seconds of work that fit into a second on average.
            fitting_per_s: The same at present. The largest accounts alone bear
                the difference, since those near the level would be held back
                at times although they request less than it.
        """
        for demand in (*self._demands.values(), *self._rests.values()):
            demand.roll(elapsed_s)
        self._remove_idle()
        self._fold_smallest()
        self._shares = {}
        self._rest_shares = {}
        self._weights = {}
        offered_per_s = self.offered_per_s
        if offered_per_s <= min(capacity_per_s, fitting_per_s):
            self._shares = dict.fromkeys(self._demands, 1.0)
            return
        works: dict[int, float] = {}
        for key, demand in self._demands.items():
            works[key.priority] = works.get(key.priority, 0.0) + demand.per_s
        for priority, rest in self._rests.items():
            works[priority] = works.get(priority, 0.0) + rest.per_s
        means = _allot(works, capacity_per_s / offered_per_s)
        shares = _allot(works, fitting_per_s / offered_per_s)
        for priority, work in works.items():
            self._divide(
                priority, means[priority] * work, shares[priority], work
            )

    def _divide(
        self,
        priority: int,
        capacity_per_s: float,
        mean_share: float,
        work_per_s: float,
    ) -> None:
        """Computes the shares within one priority."""
        mean = capacity_per_s / work_per_s
        minimum_share = MINIMUM_SHARE_RATIO * mean
        minimum_weight = QUEUE_SHARE_RATIO * mean
        amounts = {
            key: demand.per_s
            for key, demand in self._demands.items()
            if key.priority == priority
        }
        demands = [water_level.Demand(amount) for amount in amounts.values()]
        rest = self._rests.get(priority)
        smallest = min(amounts.values(), default=0.0)
        if rest is not None:
            # The accounts of the rest are no larger than the smallest of the
            # others, which gives the least number that they can be.
            smallest = smallest or rest.per_s
            count = max(rest.per_s / smallest, 1.0)
            demands.append(water_level.Demand(rest.per_s / count, count))
        level = water_level.find(demands, capacity_per_s, minimum_share)
        usual_level = level
        full = TOLERANCE_RATIO * level
        small = [demand for demand in demands if demand.amount <= full]
        large = [demand for demand in demands if demand.amount > full]
        fitting_per_s = mean_share * work_per_s - sum(
            demand.amount * demand.accounts for demand in small
        )
        level = water_level.find(large, fitting_per_s, minimum_share)
        for key, amount in amounts.items():
            self._shares[key] = (
                1.0
                if amount <= full
                else water_level.share_at(level, amount, minimum_share)
            )
            granted = minimum_weight * amount
            if granted > usual_level > 0.0:
                self._weights[key] = granted / usual_level
        if rest is not None and smallest > full:
            self._rest_shares[priority] = water_level.share_at(
                level, smallest, minimum_share
            )

    def _remove_idle(self) -> None:
        for key in list(self._demands):
            if self._demands[key].per_s < _NEGLIGIBLE_PER_S:
                del self._demands[key]
        for priority in list(self._rests):
            if self._rests[priority].per_s < _NEGLIGIBLE_PER_S:
                del self._rests[priority]

        self.is_in_use = any(key.name for key in self._demands)

    def _fold_smallest(self) -> None:
        """Adds the smallest demands to the rest of their priority."""
        excess = len(self._demands) - MAXIMUM_ACCOUNTS
        if excess <= 0:
            return
        keys = sorted(self._demands, key=lambda key: self._demands[key].per_s)
        for key in keys[:excess]:
            self._find_rest(key.priority).add(self._demands.pop(key))

    def _find_rest(self, priority: int) -> demand_rate.DemandRate:
        rest = self._rests.get(priority)
        if rest is None:
            rest = self._rests[priority] = demand_rate.DemandRate()
        return rest


def _allot(works: dict[int, float], share: float) -> dict[int, float]:
    return rank_allotment.allot(works, min(share, 1.0))
