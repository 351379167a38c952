"""Which call trees may start while a service that they need lacks capacity.

Guards against clients that ask for more trees than the deepest service can
finish. A tree that cannot finish is refused before any work is done for it,
the least important first, and only if it needs the service that is short.
"""

import enum
import math
from typing import NamedTuple

from cranberrymux.decisions.pressure import work_report

COST_WEIGHT = 0.05  # Weight of one answer in the mean cost of a route.
SHARE_WEIGHT = 0.5  # Weight of one report in the mean share of a service.
REFRESH_INTERVAL_S = 0.1
RATE_TIME_CONSTANT_S = 1.5  # Of the mean arrival rate.
SHARE_TTL_S = 0.6  # A share not reported for longer grows again.
REOPEN_TIME_CONSTANT_S = 1.0  # An expired share grows by a factor of e in it.
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
    """Smoothed share that a service can take, and its last update."""

    __slots__ = ("updated_s", "share")

    def __init__(self, now_s: float) -> None:
        self.share = 1.0
        self.updated_s = now_s


class RootAdmission:
    """Decides at the node that a tree enters."""

    def __init__(self, now_s: float) -> None:
        """Starts with all requests admitted.

        Args:
            now_s: Monotonic seconds.
        """
        self._flows: dict[TrafficClass, _Flow] = {}
        self._costs: dict[str, dict[str, float]] = {}
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
        now_s: float,
        route: str,
        report: work_report.WorkReport,
        is_successful: bool,
    ) -> None:
        """Learns costs and shares from the answer to a root request.

        Args:
            now_s: Monotonic seconds.
            route: Name of its route.
            report: Cost of its tree at each service.
            is_successful: True if the tree succeeded. The cost of a failed
                tree is only a lower bound of that of a complete one.
        """
        for service, work in report.items():
            self.note_share(now_s, service, work.share)
        costs = self._costs.setdefault(route, {})
        if is_successful:
            for service in costs:
                if service not in report:
                    costs[service] *= 1.0 - COST_WEIGHT
        for service, work in report.items():
            cost_s = costs.get(service, work.slot_s)
            if is_successful or work.slot_s > cost_s:
                cost_s += COST_WEIGHT * (work.slot_s - cost_s)
            costs[service] = cost_s

    def note_share(self, now_s: float, service: str, share: float) -> None:
        """Records the share that one endpoint of a service can take."""
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service(now_s)
        state.share += SHARE_WEIGHT * (share - state.share)
        state.updated_s = now_s

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
        if now_s - state.updated_s > SHARE_TTL_S:
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
            work = flow.per_s * self._cost(traffic_class.route, service)
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

    def is_known_leaf(self, route: str) -> bool:
        """True if requests of a route are known to make no calls."""
        return len(self._costs.get(route, ())) == 1

    def _cost(self, route: str, service: str) -> float:
        return self._costs.get(route, {}).get(service, 0.0)
