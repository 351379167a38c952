"""A configuration of routes, as a value and as text."""

import json
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.routes import backend_service
from cranberrymux.decisions.routes import client_limits
from cranberrymux.decisions.routes import route as route_module


class RouteDocument(NamedTuple):
    """A whole configuration of routes.

    Attributes:
        label: The operator's number of this configuration; grows, with gaps.
        routes: All routes.
        services: All services.
        limits: Bounds on what clients send.
        source: The text that the operator sent, to be shown again as it was.
    """

    label: int
    routes: tuple[route_module.Route, ...]
    services: tuple[backend_service.BackendService, ...]
    limits: client_limits.ClientLimits
    source: str


class DocumentError(NamedTuple):
    """A sentinel for a text that is no document of routes.

    Attributes:
        detail: One line for people.
    """

    detail: str


def dump(document: RouteDocument) -> str:
    """Writes a document with one line for each route and service."""
    lines = [
        json.dumps({"label": document.label, "source": document.source}),
        json.dumps({"limits": document.limits._asdict()}),
    ]
    for one in document.services:
        lines.append(json.dumps({"service": list(one)}))
    for route in document.routes:
        values = route._replace(
            targets=tuple(tuple(one) for one in route.targets)  # type: ignore[misc]
        )
        fields = [*values]
        fields[4] = route.repeatability.value
        lines.append(json.dumps({"route": fields}))
    return "\n".join(lines) + "\n"


def load(text: str) -> RouteDocument | DocumentError:
    """Reads what `dump` wrote."""
    try:
        return _load(text)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        return DocumentError(f"{type(error).__name__}: {error}")


def _load(text: str) -> RouteDocument:
    head, limits, *rest = [json.loads(line) for line in text.splitlines()]
    services = []
    routes = []
    for line in rest:
        if "service" in line:
            services.append(backend_service.BackendService(*line["service"]))
        else:
            routes.append(_load_route(line["route"]))
    return RouteDocument(
        head["label"],
        tuple(routes),
        tuple(services),
        client_limits.ClientLimits(**limits["limits"]),
        head["source"],
    )


def _load_route(values: list[Any]) -> route_module.Route:
    read = route_module.Route(*values)
    targets = tuple(route_module.Target(*one) for one in values[3])
    return read._replace(
        targets=targets,
        repeatability=route_module.Repeatability(values[4]),
    )
