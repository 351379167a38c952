"""Explanation of one endpoint for operators."""

from typing import NamedTuple

from cranberrymux.decisions.endpoints import endpoint_figures
from cranberrymux.decisions.endpoints import endpoint_verdict


class ExplainedEndpoint(NamedTuple):
    """Why an endpoint gets a request or not, with the figures compared.

    Attributes:
        endpoint_id: Id of the endpoint.
        zone: Its availability zone.
        verdict: Whether it is chosen, or what rules it out.
        detail: The verdict in one line for people.
        figures: What this node knows of it.
    """

    endpoint_id: str
    zone: str
    verdict: endpoint_verdict.EndpointVerdict
    detail: str
    figures: endpoint_figures.EndpointFigures
