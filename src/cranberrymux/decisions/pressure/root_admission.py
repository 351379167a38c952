"""Which call trees may start while a service that they need lacks capacity.

Guards against clients that ask for more trees than the deepest service can
finish. A tree that cannot finish is refused before any work is done for it,
the least important first, and only if it needs the service that is short.
"""

from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

from cranberrymux.decisions.pressure import expected_work
from cranberrymux.decisions.pressure import share_news
from cranberrymux.decisions.pressure import work_report

COST_WEIGHT = 0.05  # Weight of one answer in the mean cost of a route.
# What is newer by this time has a weight of 1 - 1/e in the mean share.
SHARE_TIME_CONSTANT_S = 0.05
# Weight of one report at most: endpoints of a service differ.
MAXIMUM_REPORT_WEIGHT = 0.5
REFRESH_INTERVAL_S = 0.1
RATE_TIME_CONSTANT_S = 1.5  # Of the mean arrival rate.
SHARE_TTL_S = 0.6  # A share not reported for longer grows again.
REOPEN_TIME_CONSTANT_S = 1.0  # An expired share grows by a factor of e in it.
# Time for which nodes are told that a service has room again.
RECOVERY_NEWS_S = 2.0
MAXIMUM_CREDIT_REQUESTS = 2.0
# Part of a service's share that every class keeps, so that none is starved.
MINIMUM_SHARE_RATIO = 0.2


class AttemptTiming(enum.IntEnum):
    """Order of requests of equal priority; lower values first.

    Attributes:
        RETRY_IN_TIME: A retry that can still have its full value.
        FIRST: A first attempt.
        RETRY_LATE: A retry that is too late for its full value.
    """

    RETRY_IN_TIME = 0
    FIRST = 1
    RETRY_LATE = 2


class TrafficClass(NamedTuple):
    """Requests that are admitted alike.

    Attributes:
        priority: Importance of the route; 0 is the most important.
        timing: Order among requests of equal priority.
        route: Name of the route.
    """

    priority: int
    timing: AttemptTiming
    route: str


class _Flow:
    """Arrivals of one traffic class and the share that may start."""

    __slots__ = ("arrived", "credit", "per_s", "share")

    def __init__(self) -> None:
        self.arrived = 0
        self.per_s = 0.0
        self.share = 1.0
        self.credit = 1.0


class _Service:
    """Smoothed share that a service can take.

    Attributes:
        share: The share, 0.0 to 1.0.
        reported_s: Monotonic seconds of the newest report that it is based on.
        mean_reported_s: Weighted mean of the times of all those reports.
        was_short_s: Monotonic seconds at which it was last below 1.0.
    """

    __slots__ = ("mean_reported_s", "reported_s", "share", "was_short_s")

    def __init__(self, reported_s: float) -> None:
        self.share = 1.0
        self.reported_s = reported_s
        self.mean_reported_s = reported_s - SHARE_TTL_S
        self.was_short_s = -math.inf

    def add(
        self,
        now_s: float,
        share: float,
        reported_s: float,
        maximum_weight: float,
    ) -> None:
        """Adds a share to the mean; it counts the more, the newer it is."""
        newer_s = reported_s - self.mean_reported_s
        if newer_s <= 0.0:
            return
        if self.share < 1.0:
            self.was_short_s = now_s
        weight = 1.0 - math.exp(-newer_s / SHARE_TIME_CONSTANT_S)
        weight = min(weight, maximum_weight)
        self.share += weight * (share - self.share)
        self.mean_reported_s += weight * newer_s
        self.reported_s = max(self.reported_s, reported_s)


class _Cost:
    """Mean work of the trees of one route at one service.

    Attributes:
        slot_s: Seconds for which they hold slots.
        requests: Number of their requests.
    """

    __slots__ = ("requests", "slot_s")

    def __init__(self, work: work_report.ServiceWork) -> None:
        self.slot_s = work.slot_s
        self.requests = float(work.requests)

    def approach(self, slot_s: float, requests: float) -> None:
        """Adds the work of one tree to the mean."""
        self.slot_s += COST_WEIGHT * (slot_s - self.slot_s)
        self.requests += COST_WEIGHT * (requests - self.requests)

    def raise_to(self, work: work_report.ServiceWork) -> None:
        """Takes the work of a failed tree as a lower bound."""
        self.slot_s = max(self.slot_s, work.slot_s)
        self.requests = max(self.requests, float(work.requests))


_NO_COST = _Cost(work_report.ServiceWork(0.0, 0))


class RootAdmission:
    """Decides at the node that a tree enters."""

    def __init__(self, now_s: float) -> None:
        """Starts with all requests admitted.

        Args:
            now_s: Monotonic seconds.
        """
        self._flows: dict[TrafficClass, _Flow] = {}
        self._costs: dict[str, dict[str, _Cost]] = {}
        self._successful_routes: set[str] = set()
        self._services: dict[str, _Service] = {}
        self._last_refresh_s = now_s

    def offer(self, now_s: float, traffic_class: TrafficClass) -> bool:
        """Returns True if a new request may start."""
        if now_s - self._last_refresh_s >= REFRESH_INTERVAL_S:
            self._refresh(now_s)
        flow = self._flows.get(traffic_class)
        if flow is None:
            flow = self._flows[traffic_class] = _Flow()
        flow.arrived += 1
        if flow.share >= 1.0:
            return True
        flow.credit = min(flow.credit + flow.share, MAXIMUM_CREDIT_REQUESTS)
        if flow.credit < 1.0:
            return False
        flow.credit -= 1.0
        return True

    @property
    def minimum_share(self) -> float:
        """Smallest share of the offered work that any service can take."""
        shares = [service.share for service in self._services.values()]
        return min(shares, default=1.0)

    def expect_work(self, route: str) -> dict[str, expected_work.ExpectedWork]:
        """Returns the work that a tree will do where capacity is short.

        Args:
            route: Name of the route of its root.
        """
        return {
            service: expected_work.ExpectedWork(
                self._get_cost(route, service).requests, state.share
            )
            for service, state in self._services.items()
            if state.share < 1.0
        }

    def get_service_share(self, service: str) -> float:
        """Returns the smoothed share that a service can take, 0.0 to 1.0."""
        state = self._services.get(service)
        return 1.0 if state is None else state.share

    def reset_service_share(self, service: str) -> None:
        """Returns a share to 1.0, as a rate limit of the service ended."""
        self._services.pop(service, None)

    def get_admitted_share(self, traffic_class: TrafficClass) -> float:
        """Returns the share of a class that may start, 0.0 to 1.0."""
        flow = self._flows.get(traffic_class)
        return 1.0 if flow is None else flow.share

    def note_report(
        self,
        route: str,
        report: work_report.WorkReport,
        is_successful: bool,
    ) -> None:
        """Learns costs from the answer to a root request.

        Args:
            route: Name of its route.
            report: Cost of its tree at each service.
            is_successful: True if the tree succeeded. The cost of a failed
                tree is only a lower bound of that of a complete one.
        """
        costs = self._costs.setdefault(route, {})
        if is_successful and route not in self._successful_routes:
            self._successful_routes.add(route)
            costs.clear()
        if is_successful:
            for service, cost in costs.items():
                if service not in report:
                    cost.approach(0.0, 0.0)
        for service, work in report.items():
            cost = costs.setdefault(service, _Cost(work))
            if route not in self._successful_routes:
                cost.raise_to(work)
            elif is_successful or work.slot_s > cost.slot_s:
                cost.approach(work.slot_s, work.requests)

    def note_share(self, now_s: float, service: str, share: float) -> None:
        """Records the share that an endpoint reports, of any service."""
        state = self._services.setdefault(service, _Service(now_s))
        state.add(now_s, share, now_s, MAXIMUM_REPORT_WEIGHT)

    def get_news(self, now_s: float) -> dict[str, share_news.ShareNews]:
        """Returns what other nodes need to know of services short of capacity.

        One node has few answers of any one service, all nodes have many.

        Args:
            now_s: Monotonic seconds.
        """
        return {
            service: share_news.ShareNews(
                state.share, max(now_s - state.mean_reported_s, 0.0)
            )
            for service, state in self._services.items()
            if now_s - state.reported_s <= SHARE_TTL_S
            and (
                state.share < 1.0 or now_s - state.was_short_s < RECOVERY_NEWS_S
            )
        }

    def note_news(
        self, now_s: float, news: Mapping[str, share_news.ShareNews]
    ) -> None:
        """Learns from another node where its reports are newer.

        Args:
            now_s: Monotonic seconds.
            news: What that node knows, by service.
        """
        for service, part in news.items():
            if part.age_s <= SHARE_TTL_S:
                reported_s = now_s - part.age_s
                state = self._services.setdefault(service, _Service(reported_s))
                state.add(now_s, part.share, reported_s, 1.0)

    def _refresh(self, now_s: float) -> None:
        elapsed_s = now_s - self._last_refresh_s
        self._last_refresh_s = now_s
        weight = 1.0 - math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        for flow in self._flows.values():
            flow.per_s += weight * (flow.arrived / elapsed_s - flow.per_s)
            flow.arrived = 0
            flow.share = 1.0
        for service, state in self._services.items():
            self._grow_expired_share(state, now_s, elapsed_s)
            if state.share < 1.0:
                self._allot(service, state.share)

    def _grow_expired_share(
        self, state: _Service, now_s: float, elapsed_s: float
    ) -> None:
        if now_s - state.reported_s > SHARE_TTL_S:
            state.share = min(
                1.0, state.share * math.exp(elapsed_s / REOPEN_TIME_CONSTANT_S)
            )

    def _allot(self, service: str, share: float) -> None:
        """Allots the work that fits to the classes by importance."""
        works_by_rank: dict[
            tuple[int, AttemptTiming], list[tuple[_Flow, float]]
        ] = {}
        total = 0.0
        for traffic_class, flow in self._flows.items():
            cost = self._get_cost(traffic_class.route, service)
            work = flow.per_s * cost.slot_s
            if work > 0.0:
                total += work
                rank = (traffic_class.priority, traffic_class.timing)
                works_by_rank.setdefault(rank, []).append((flow, work))
        minimum = MINIMUM_SHARE_RATIO * share
        remaining_work = (share - minimum) * total
        for rank in sorted(works_by_rank):
            needed_work = (1.0 - minimum) * sum(
                work for _, work in works_by_rank[rank]
            )
            fraction = min(1.0, max(0.0, remaining_work / needed_work))
            for flow, _ in works_by_rank[rank]:
                flow.share = min(
                    flow.share, minimum + (1.0 - minimum) * fraction
                )
            remaining_work -= needed_work

    def _get_cost(self, route: str, service: str) -> "_Cost":
        return self._costs.get(route, {}).get(service, _NO_COST)
