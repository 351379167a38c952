"""Allots work that fits to the routes of one account or priority."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from cranberrymux.decisions.pressure import rank_allotment
from cranberrymux.decisions.pressure import water_level

# Part of the overall share that every route keeps. The routes with the most
# work bear the shortage alone, and many others would starve them.
MINIMUM_SHARE_RATIO = 0.5


class Demand(NamedTuple):
    """Work that the requests of one route and timing need.

    Attributes:
        route: Name of the route.
        timing: Order within the route; lower values first.
        work: Work a second, above 0.0.
    """

    route: str
    timing: int
    work: float


def allot(demands: Sequence[Demand], share: float) -> list[float]:
    """Returns the share of each demand that may start.

    Max-min fair over the work of the routes: those that need less than a common
    level get all of it, so that refusals hit the trees that need the most.

    Args:
        demands: What is requested.
        share: Share of the sum that fits, 0.0 to 1.0.
    """
    works: dict[str, dict[int, float]] = {}
    for route, timing, work in demands:
        parts = works.setdefault(route, {})
        parts[timing] = parts.get(timing, 0.0) + work
    totals = {route: sum(parts.values()) for route, parts in works.items()}
    shares = {
        route: rank_allotment.allot(works[route], route_share)
        for route, route_share in _allot_to_routes(totals, share).items()
    }
    return [shares[demand.route][demand.timing] for demand in demands]


def _allot_to_routes(
    works: Mapping[str, float], share: float
) -> dict[str, float]:
    minimum = MINIMUM_SHARE_RATIO * share
    demands = [water_level.Demand(work) for work in works.values()]
    level = water_level.find(demands, share * sum(works.values()), minimum)
    return {
        route: water_level.share_at(level, work, minimum)
        for route, work in works.items()
    }
