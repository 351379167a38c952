"""What an operator is told of one endpoint."""

from typing import NamedTuple

from cranberrymux.decisions.routing import verdict as verdict_module


class Explanation(NamedTuple):
    """Why an endpoint was or was not a candidate, with what was weighed.

    Attributes:
        endpoint_id: The endpoint.
        region: Its region.
        zone: Its availability zone.
        verdict: What stood for or against it.
        detail: One line for people.
        distance: 0 for the own availability zone, 1 for others in the own
            region, 2 for other regions.
        outstanding: Calls in flight from this node.
        capacity: Learned capacity in slots.
        cost: Share of the capacity in use with one call more.
        warmth: Share of its work that it gets, up to 1.0.
        level: Highest priority it takes; None if not known.
    """

    endpoint_id: str
    region: str
    zone: str
    verdict: verdict_module.Verdict
    detail: str
    distance: int
    outstanding: int
    capacity: float
    cost: float
    warmth: float
    level: float | None
