"""Explanation of one endpoint for operators."""

from typing import NamedTuple

from cranberrymux.decisions.routing import verdict as verdict_module


class Explanation(NamedTuple):
    """Why an endpoint was or was not a candidate, with the values compared.

    Attributes:
        endpoint_id: Id of the endpoint.
        region: Region of the endpoint.
        zone: Availability zone of the endpoint.
        verdict: Whether it is a candidate, or what rules it out.
        detail: The verdict in one line for people.
        distance: 0 for the own availability zone, 1 for other zones of the
            own region, 2 for other regions.
        outstanding: Number of calls in flight from this node.
        capacity: Learned capacity in slots.
        cost: Share of the capacity in use with one more call; 1.0 is full.
        warmth: Share of its calls that it gets in slow start, up to 1.0.
        level: Highest priority number that it admits; None if unknown.
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
