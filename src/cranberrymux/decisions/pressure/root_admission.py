"""Which call trees may start while a service that they need lacks capacity.

Guards against clients that ask for more trees than the deepest service can
finish. A tree that cannot finish is refused before any work is done for it,
the least important first, and only if it needs the service that is short.
"""

from collections.abc import Iterator
import math
import random

from cranberrymux.decisions.pressure import account_shares
from cranberrymux.decisions.pressure import class_allotment
from cranberrymux.decisions.pressure import fair_shares
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import traffic_flow
from cranberrymux.decisions.pressure import work_report

COST_WEIGHT = 0.05  # Weight of one answer in the mean cost of a route.
SHARE_WEIGHT = 0.5  # Weight of one report in the mean share of a service.
REFRESH_INTERVAL_S = 0.1
RATE_TIME_CONSTANT_S = 1.5  # Of the mean arrival rate.
SHARE_TTL_S = 0.6  # A share not reported for longer grows again.
REOPEN_TIME_CONSTANT_S = 1.0  # An expired share grows by a factor of e in it.
MAXIMUM_CREDIT_REQUESTS = 2.0
# Traffic classes beyond this number are not told apart by account.
MAXIMUM_FLOWS = 1024
_IDLE_PER_S = 1e-3


class _Service:
    """Smoothed share that a service can take, and its last update."""

    __slots__ = ("accounts", "share", "updated_s")

    def __init__(self, now_s: float) -> None:
        self.accounts = account_shares.AccountShares()
        self.share = 1.0
        self.updated_s = now_s


class RootAdmission:
    """Decides at the node that a tree enters."""

    def __init__(
        self, now_s: float, generator: random.Random | None = None
    ) -> None:
        """Starts with all requests admitted.

        Args:
            now_s: Monotonic seconds.
            generator: Source of randomness; the same at every start by default.
        """
        self._generator = generator or random.Random(0)
        self._flows: dict[
            traffic_class_module.TrafficClass, traffic_flow.TrafficFlow
        ] = {}
        self._costs: dict[str, dict[str, float]] = {}
        self._services: dict[str, _Service] = {}
        self._rates: dict[fair_shares.AccountKey, float] = {}
        self._last_refresh_s = now_s

    def admit(
        self, now_s: float, traffic_class: traffic_class_module.TrafficClass
    ) -> int:
        """Returns for how many requests a new one stands.

        These are itself and those of its class that were refused since the
        last one that started; 0 if it may not start.
        """
        if now_s - self._last_refresh_s >= REFRESH_INTERVAL_S:
            self._refresh(now_s)
        flow = self._flows.get(traffic_class)
        if flow is None:
            flow = self._add_flow(traffic_class)
        flow.arrived += 1
        if flow.share >= 1.0:
            flow.is_held_back = False
            return flow.admit()
        if traffic_class.account and not flow.is_held_back:
            # Otherwise an account would enter at all nodes at the same times.
            flow.credit = self._generator.random()
        flow.is_held_back = True
        flow.credit = min(flow.credit + flow.share, MAXIMUM_CREDIT_REQUESTS)
        if flow.credit < 1.0:
            flow.refused += 1
            return 0
        flow.credit -= 1.0
        return flow.admit()

    @property
    def minimum_share(self) -> float:
        """Smallest share of the offered work that any service can take."""
        shares = [service.share for service in self._services.values()]
        return min(shares, default=1.0)

    def get_service_share(self, service: str) -> float:
        """Returns the smoothed share that a service can take, 0.0 to 1.0."""
        state = self._services.get(service)
        return 1.0 if state is None else state.share

    def get_service_shares(self) -> dict[str, float]:
        """Returns the smoothed shares of the services that are short."""
        return {
            service: round(state.share, 3)
            for service, state in self._services.items()
            if state.share < 1.0
        }

    def list_held_back(self) -> list[traffic_flow.HeldBackClass]:
        """Returns the classes of which only a part may start."""
        return [
            traffic_flow.HeldBackClass(traffic_class, flow.per_s, flow.share)
            for traffic_class, flow in self._flows.items()
            if flow.share < 1.0
        ]

    def get_account_share(
        self, now_s: float, service: str, key: fair_shares.AccountKey
    ) -> float | None:
        """Returns the share of an account at a service.

        None where the service has lately told no shares of accounts, so that
        its own share counts.
        """
        state = self._services.get(service)
        if state is None or not state.accounts.is_current(now_s):
            return None
        return state.accounts.get(now_s, key, self._rates.get(key, 0.0))

    def get_costs(self, route: str) -> dict[str, float]:
        """Returns the seconds of work of a route's trees at each service."""
        return dict(self._costs.get(route, {}))

    def reset_service_share(self, service: str) -> None:
        """Returns a share to 1.0, as a rate limit of the service ended."""
        self._services.pop(service, None)

    def get_admitted_share(
        self, traffic_class: traffic_class_module.TrafficClass
    ) -> float:
        """Returns the share of a class that may start, 0.0 to 1.0."""
        flow = self._find_flow(traffic_class)
        return 1.0 if flow is None else flow.share

    def note_report(
        self,
        now_s: float,
        route: str,
        report: work_report.WorkReport,
        is_successful: bool,
        key: fair_shares.AccountKey = fair_shares.NO_ACCOUNT,
    ) -> None:
        """Learns costs and shares from the answer to a root request.

        Args:
            now_s: Monotonic seconds.
            route: Name of its route.
            report: Cost of its tree at each service.
            is_successful: True if the tree succeeded. The cost of a failed
                tree is only a lower bound of that of a complete one.
            key: Account of the request.
        """
        for service, work in report.items():
            if work.offered_s != 0.0:
                self.note_share(now_s, service, work.share)
            elif service not in self._services:
                self._services[service] = _Service(now_s)
            if work.account_share is not None:
                self._services[service].accounts.note(
                    now_s, key, work.account_share, self._rates.get(key, 0.0)
                )
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

    def note_call_report(
        self, now_s: float, report: work_report.WorkReport
    ) -> None:
        """Learns shares from the answer to a call of a tree.

        A node at which few trees end would otherwise know no recent share.

        Args:
            now_s: Monotonic seconds.
            report: Work of the call at each service.
        """
        for service, work in report.items():
            if work.offered_s != 0.0:
                self.note_share(now_s, service, work.share)

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
        self._rates = {}
        for traffic_class, flow in list(self._flows.items()):
            flow.per_s += weight * (flow.arrived / elapsed_s - flow.per_s)
            flow.arrived = 0
            flow.share = 1.0
            if traffic_class.account and flow.per_s < _IDLE_PER_S:
                del self._flows[traffic_class]
                continue
            key = traffic_class.key
            self._rates[key] = self._rates.get(key, 0.0) + flow.per_s
        for service, state in self._services.items():
            self._grow_expired_share(state, now_s, elapsed_s)
            if state.share < 1.0:
                if state.accounts.is_current(now_s):
                    self._allot_to_accounts(now_s, service, state.accounts)
                else:
                    class_allotment.allot_by_priority(
                        self._list_parts(service), state.share
                    )

    def _grow_expired_share(
        self, state: _Service, now_s: float, elapsed_s: float
    ) -> None:
        if now_s - state.updated_s > SHARE_TTL_S:
            state.share = min(
                1.0, state.share * math.exp(elapsed_s / REOPEN_TIME_CONSTANT_S)
            )

    def _allot_to_accounts(
        self, now_s: float, service: str, accounts: account_shares.AccountShares
    ) -> None:
        """Allots to each account the share that the service has told."""
        parts_by_key: dict[
            fair_shares.AccountKey, list[class_allotment.Part]
        ] = {}
        for part in self._list_parts(service):
            parts_by_key.setdefault(part.traffic_class.key, []).append(part)
        for key, parts in parts_by_key.items():
            share = accounts.get(now_s, key, self._rates.get(key, 0.0))
            class_allotment.allot_to_routes(parts, share)

    def _list_parts(self, service: str) -> Iterator[class_allotment.Part]:
        """Yields the classes that need a service, with their work there."""
        for traffic_class, flow in self._flows.items():
            work = flow.per_s * self._cost(traffic_class.route, service)
            if work > 0.0:
                yield class_allotment.Part(traffic_class, flow, work)

    def _find_flow(
        self, traffic_class: traffic_class_module.TrafficClass
    ) -> traffic_flow.TrafficFlow | None:
        flow = self._flows.get(traffic_class)
        if flow is None and traffic_class.account:
            return self._flows.get(traffic_class._replace(account=""))
        return flow

    def _add_flow(
        self, traffic_class: traffic_class_module.TrafficClass
    ) -> traffic_flow.TrafficFlow:
        if traffic_class.account and len(self._flows) >= MAXIMUM_FLOWS:
            traffic_class = traffic_class._replace(account="")
        return self._flows.setdefault(traffic_class, traffic_flow.TrafficFlow())

    def is_known_leaf(self, route: str) -> bool:
        """True if requests of a route are known to make no calls."""
        return len(self._costs.get(route, ())) == 1

    def _cost(self, route: str, service: str) -> float:
        return self._costs.get(route, {}).get(service, 0.0)
