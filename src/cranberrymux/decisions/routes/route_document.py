"""The routing configuration and its stored text form."""

from collections.abc import Generator
import json
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import backend_service
from cranberrymux.decisions.routes import client_limits
from cranberrymux.decisions.routes import route as route_module


class RouteDocument(NamedTuple):
    """A complete routing configuration.

    Attributes:
        label: Version number that the operator chose; strictly increasing,
            gaps are allowed.
        routes: All routes.
        services: All services that the routes refer to.
        limits: Limits on client connections.
        source: The text that the operator sent; returned unchanged when the
            configuration is read.
        accounts: All client accounts; without any, requests need no key.
    """

    label: int
    routes: tuple[route_module.Route, ...]
    services: tuple[backend_service.BackendService, ...]
    limits: client_limits.ClientLimits
    source: str
    accounts: tuple[client_account.ClientAccount, ...] = ()


class RouteDocumentError(NamedTuple):
    """Result for a text that is not a valid routing configuration.

    Attributes:
        detail: Human-readable cause, one line.
    """

    detail: str


LINES_PER_STEP = 500
LoadSteps = Generator[None, None, RouteDocument | RouteDocumentError]


def dump(document: RouteDocument) -> str:
    """Encodes a document as JSON lines, one for each part of its tables."""
    lines = [
        json.dumps({"label": document.label, "source": document.source}),
        json.dumps({"limits": document.limits._asdict()}),
    ]
    for service in document.services:
        lines.append(json.dumps({"service": list(service)}))
    for route in document.routes:
        values = route._replace(
            targets=tuple(tuple(target) for target in route.targets)  # type: ignore[misc]
        )
        fields = [*values]
        fields[4] = route.repeatability.value
        lines.append(json.dumps({"route": fields}))
    lines.extend(
        json.dumps({"account": list(account)}) for account in document.accounts
    )
    return "\n".join(lines) + "\n"


def load(text: str) -> RouteDocument | RouteDocumentError:
    """Decodes the output of `dump`; returns an error for any other text."""
    steps = load_in_steps(text)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: RouteDocument | RouteDocumentError = end.value
            return result


def load_in_steps(text: str) -> LoadSteps:
    """Decodes as `load` does, `LINES_PER_STEP` lines between two yields.

    A large document would otherwise keep a process from its requests.
    """
    try:
        return (yield from _load(text))
    except (ValueError, TypeError, KeyError, IndexError) as error:
        return RouteDocumentError(f"{type(error).__name__}: {error}")


def _load(text: str) -> LoadSteps:
    first, second, *rest = text.splitlines()
    head = json.loads(first)
    limits = json.loads(second)
    services = []
    routes = []
    accounts = []
    for number, encoded in enumerate(rest, 1):
        if number % LINES_PER_STEP == 0:
            yield
        line = json.loads(encoded)
        if "service" in line:
            services.append(backend_service.BackendService(*line["service"]))
        elif "account" in line:
            name, keys, *quota = line["account"]
            accounts.append(
                client_account.ClientAccount(name, tuple(keys), *quota)
            )
        else:
            routes.append(_load_route(line["route"]))
    return RouteDocument(
        head["label"],
        tuple(routes),
        tuple(services),
        client_limits.ClientLimits(**limits["limits"]),
        head["source"],
        tuple(accounts),
    )


def _load_route(values: list[Any]) -> route_module.Route:
    route = route_module.Route(*values)
    targets = tuple(route_module.Target(*target) for target in values[3])
    return route._replace(
        targets=targets,
        repeatability=route_module.Repeatability(values[4]),
    )
