"""Cost and size of one endpoint."""

from typing import NamedTuple


class EndpointCost(NamedTuple):
    """Cost and size of one endpoint.

    Attributes:
        cost: Cost of one more request, in the unit of the service's
            `cost_time.CostTime`.
        slots: Number of its slots.
    """

    cost: float
    slots: int


def mean_of_cheaper(endpoints: list[EndpointCost]) -> EndpointCost:
    """Returns the expected cheaper of two random endpoints.

    Slots are those of an endpoint in the mean.

    Args:
        endpoints: Endpoints, at least one.
    """
    count = len(endpoints)
    slots = max(sum(each.slots for each in endpoints) // count, 1)
    if count == 1:
        return EndpointCost(endpoints[0].cost, slots)
    costs = sorted(each.cost for each in endpoints)
    weighted = sum((count - 1 - rank) * cost for rank, cost in enumerate(costs))
    return EndpointCost(2.0 * weighted / (count * (count - 1)), slots)
