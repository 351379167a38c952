"""Whether a document of routes can be put in force."""

from typing import NamedTuple

from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_document

MAXIMUM_TIMEOUT_S = 600.0


class InvalidDocument(NamedTuple):
    """A sentinel for a document that must not be put in force.

    Attributes:
        place: Name of the route at fault; empty for the whole document.
        detail: One line for people.
    """

    place: str
    detail: str


def check(
    document: route_document.RouteDocument, current_label: int
) -> InvalidDocument | None:
    """Says what is wrong with a document; None if nothing is.

    Args:
        document: The document to be put in force.
        current_label: Label of the document in force; 0 for none.
    """
    if document.label <= current_label:
        detail = f"label {document.label} is not above {current_label}"
        return InvalidDocument("", detail)
    services = {one.name for one in document.services}
    places: set[tuple[str, str]] = set()
    for route in document.routes:
        detail = _check_route(route, services)
        place = (route.host, route.prefix)
        if not detail and place in places:
            detail = f"second route for {route.host}{route.prefix}"
        if detail:
            return InvalidDocument(route.name, detail)
        places.add(place)
    return None


def _check_route(route: route_module.Route, services: set[str]) -> str:
    unknown = [
        one.service for one in route.targets if one.service not in services
    ]
    weights = [one.weight for one in route.targets]
    is_framed = route.prefix.startswith("/") and route.prefix.endswith("/")
    faults = (
        (bool(unknown), f"unknown service {', '.join(unknown)}"),
        (min(weights, default=0) < 0, "a weight is below 0"),
        (sum(weights) <= 0, "the weights add up to 0"),
        (
            not 0 < route.timeout_s <= MAXIMUM_TIMEOUT_S,
            f"timeout of {route.timeout_s} s",
        ),
        (not is_framed, "the prefix must begin and end with a slash"),
        (route.attempts < 1, "attempts must be at least 1"),
    )
    return next((detail for is_fault, detail in faults if is_fault), "")
