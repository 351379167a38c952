"""Allots the work that fits at one service to traffic classes."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cranberrymux.decisions.pressure import priority_groups
from cranberrymux.decisions.pressure import rank_allotment
from cranberrymux.decisions.pressure import route_allotment
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import traffic_flow

_Rank = tuple[int, int]  # Priority and timing.


class Part(NamedTuple):
    """A traffic class and its work at one service.

    Attributes:
        traffic_class: The class.
        flow: Its arrivals, and the share of them that may start.
        work: Its work there a second, above 0.0.
    """

    traffic_class: traffic_class_module.TrafficClass
    flow: traffic_flow.TrafficFlow
    work: float

    @property
    def rank(self) -> _Rank:
        """Order of the class: its priority, then its timing."""
        return self.traffic_class.priority, int(self.traffic_class.timing)


def allot_by_priority(parts: Iterable[Part], share: float) -> None:
    """Lowers the shares of classes to what fits, the least important first.

    Args:
        parts: All classes that need the service.
        share: Share of their work that fits, 0.0 to 1.0.
    """
    parts_by_rank: dict[_Rank, list[Part]] = {}
    for part in parts:
        parts_by_rank.setdefault(part.rank, []).append(part)
    group_ranks = _find_group_ranks(parts_by_rank)
    works: dict[_Rank, float] = {}
    for rank, equal_parts in parts_by_rank.items():
        group_rank = group_ranks[rank]
        work = sum(part.work for part in equal_parts)
        works[group_rank] = works.get(group_rank, 0.0) + work
    shares = rank_allotment.allot(works, share)
    for rank, equal_parts in parts_by_rank.items():
        allot_to_routes(equal_parts, shares[group_ranks[rank]])


def allot_to_routes(parts: Sequence[Part], share: float) -> None:
    """Lowers the shares of classes of equal importance to what fits.

    Args:
        parts: The classes.
        share: Share of their work that fits.
    """
    if share >= 1.0:
        return
    demands = [
        route_allotment.Demand(
            part.traffic_class.route, int(part.traffic_class.timing), part.work
        )
        for part in parts
    ]
    shares = route_allotment.allot(demands, share)
    for part, part_share in zip(parts, shares, strict=True):
        part.flow.share = min(part.flow.share, part_share)


def _find_group_ranks(
    parts_by_rank: dict[_Rank, list[Part]],
) -> dict[_Rank, _Rank]:
    """Returns the rank under which each rank is allotted its share.

    Ranks of priorities that share a shortage differ by timing alone.
    """
    demands: dict[int, priority_groups.PriorityDemand] = {}
    for (priority, _), parts in parts_by_rank.items():
        demand = priority_groups.PriorityDemand(
            sum(part.flow.per_s for part in parts),
            sum(part.work for part in parts),
        )
        known = demands.get(priority)
        demands[priority] = demand if known is None else known.plus(demand)
    groups = priority_groups.find(demands)
    return {
        (priority, timing): (groups[priority], timing)
        for priority, timing in parts_by_rank
    }
