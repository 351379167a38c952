"""Which requests may begin while a service that their tree needs is short.

Answers the pattern in which clients ask for more trees than the deepest
service can finish: a tree that cannot end is refused before any work is spent
on it, the least important first, and only where it needs the short service.
"""

import enum
import math
from typing import NamedTuple

from cranberrymux.decisions.pressure import work_report

COST_WEIGHT = 0.05  # Weight of one answer in the cost of a route.
SHARE_WEIGHT = 0.5  # Weight of one report in the share of a service.
REFRESH_S = 0.1
RATE_TIME_S = 1.5  # Time over which arrivals are averaged.
NEWS_LIFE_S = 0.6  # A share that is not renewed for longer opens again.
REOPEN_TIME_S = 1.0  # Time in which an old share grows by a factor of e.
MOST_CREDIT = 2.0
# Part of an even share that every kind keeps, so that none is starved.
FLOOR = 0.2


class Turn(enum.IntEnum):
    """Order of the requests of one importance."""

    RETURNED_IN_TIME = 0
    FIRST = 1
    RETURNED_LATE = 2


class Kind(NamedTuple):
    """Requests that are treated alike.

    Attributes:
        priority: Importance of the route; 0 is the greatest.
        turn: Order within the importance.
        route: Name of the route.
    """

    priority: int
    turn: Turn
    route: str


class _Flow:
    """Arrivals of one kind and the part of them that may begin."""

    __slots__ = ("arrived", "credit", "per_s", "share")

    def __init__(self) -> None:
        self.arrived = 0
        self.per_s = 0.0
        self.share = 1.0
        self.credit = 1.0


class _Service:
    __slots__ = ("heard_s", "share")

    def __init__(self, now_s: float) -> None:
        self.share = 1.0
        self.heard_s = now_s


class RootAdmission:
    """Decides at the node where trees begin."""

    def __init__(self, now_s: float) -> None:
        """Starts open.

        Args:
            now_s: Present time.
        """
        self._flows: dict[Kind, _Flow] = {}
        self._costs: dict[str, dict[str, float]] = {}
        self._services: dict[str, _Service] = {}
        self._refreshed_s = now_s

    def offer(self, now_s: float, kind: Kind) -> bool:
        """Decides on a request; True if it may begin."""
        if now_s - self._refreshed_s >= REFRESH_S:
            self._refresh(now_s)
        flow = self._flows.get(kind)
        if flow is None:
            flow = self._flows[kind] = _Flow()
        flow.arrived += 1
        if flow.share >= 1.0:
            return True
        flow.credit = min(flow.credit + flow.share, MOST_CREDIT)
        if flow.credit < 1.0:
            return False
        flow.credit -= 1.0
        return True

    @property
    def least_share(self) -> float:
        """Share of the offered work that the shortest service takes."""
        shares = [one.share for one in self._services.values()]
        return min(shares, default=1.0)

    def share_of(self, kind: Kind) -> float:
        """Part of a kind's requests that may begin now."""
        flow = self._flows.get(kind)
        return 1.0 if flow is None else flow.share

    def note_report(
        self,
        now_s: float,
        route: str,
        report: work_report.WorkReport,
        is_whole: bool,
    ) -> None:
        """Learns from the answer to a request that began here.

        Args:
            now_s: Present time.
            route: Name of its route.
            report: What its tree cost.
            is_whole: True if the tree ended well. One that failed tells the
                least that a whole one costs.
        """
        for service, part in report.items():
            self.note_share(now_s, service, part.share)
        costs = self._costs.setdefault(route, {})
        if is_whole:
            for service in costs:
                if service not in report:
                    costs[service] *= 1.0 - COST_WEIGHT
        for service, part in report.items():
            known = costs.get(service, part.slot_s)
            if is_whole or part.slot_s > known:
                known += COST_WEIGHT * (part.slot_s - known)
            costs[service] = known

    def note_share(self, now_s: float, service: str, share: float) -> None:
        """Takes the share that one endpoint of a service can take."""
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _Service(now_s)
        known.share += SHARE_WEIGHT * (share - known.share)
        known.heard_s = now_s

    def _refresh(self, now_s: float) -> None:
        span_s = now_s - self._refreshed_s
        self._refreshed_s = now_s
        weight = 1.0 - math.exp(-span_s / RATE_TIME_S)
        for flow in self._flows.values():
            flow.per_s += weight * (flow.arrived / span_s - flow.per_s)
            flow.arrived = 0
            flow.share = 1.0
        for service, known in self._services.items():
            self._reopen(known, now_s, span_s)
            if known.share < 1.0:
                self._share_out(service, known.share)

    def _reopen(self, known: _Service, now_s: float, span_s: float) -> None:
        if now_s - known.heard_s > NEWS_LIFE_S:
            known.share = min(
                1.0, known.share * math.exp(span_s / REOPEN_TIME_S)
            )

    def _share_out(self, service: str, share: float) -> None:
        """Gives the work that fits to the most important kinds."""
        ranks: dict[tuple[int, Turn], list[tuple[_Flow, float]]] = {}
        total = 0.0
        for kind, flow in self._flows.items():
            need = flow.per_s * self._cost(kind.route, service)
            if need > 0.0:
                total += need
                rank = (kind.priority, kind.turn)
                ranks.setdefault(rank, []).append((flow, need))
        least = FLOOR * share
        left = (share - least) * total
        for rank in sorted(ranks):
            needed = (1.0 - least) * sum(need for _, need in ranks[rank])
            part = min(1.0, max(0.0, left / needed))
            for flow, _ in ranks[rank]:
                flow.share = min(flow.share, least + (1.0 - least) * part)
            left -= needed

    def _cost(self, route: str, service: str) -> float:
        return self._costs.get(route, {}).get(service, 0.0)
