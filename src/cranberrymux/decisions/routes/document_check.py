"""Validates a routing configuration before it takes effect."""

from collections.abc import Generator
from collections.abc import Sequence
from typing import NamedTuple

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_document
from cranberrymux.models import steps

MAXIMUM_TIMEOUT_S = 600.0
# Of a route's weights; far below the largest float, as shares add them up.
MAXIMUM_WEIGHT_SUM = 1e300


class InvalidDocument(NamedTuple):
    """Result for a document that must not take effect.

    Attributes:
        route_name: Name of the invalid route; empty if the document as a whole
            is invalid.
        detail: Human-readable cause, one line.
    """

    route_name: str
    detail: str


CheckSteps = Generator[None, None, InvalidDocument | None]


def check(
    document: route_document.RouteDocument, current_label: int
) -> InvalidDocument | None:
    """Returns the first fault of a document, or None if it is valid.

    Args:
        document: The document to validate.
        current_label: Label of the document in force; 0 for none.
    """
    return steps.finish(check_in_steps(document, current_label))


def check_in_steps(
    document: route_document.RouteDocument, current_label: int
) -> CheckSteps:
    """Checks as `check` does, a number of rows between two yields."""
    if document.label <= current_label:
        detail = (
            f"label {document.label} is not above the label in force,"
            f" {current_label}"
        )
        return InvalidDocument("", detail)
    limits = document.limits
    if not (limits.header_timeout_s > 0.0 and limits.idle_timeout_s > 0.0):
        return InvalidDocument("", "the timeouts of clients must be above 0 s")
    services = {service.name for service in document.services}
    if len(services) != len(document.services):
        return InvalidDocument("", "two services have one name")
    invalid = yield from _check_routes(document.routes, services)
    if invalid is not None:
        return invalid
    return (yield from _check_accounts(document.accounts))


def _check_routes(
    routes: Sequence[route_module.Route], services: set[str]
) -> CheckSteps:
    """Returns the first fault of the routes."""
    seen: set[tuple[str, str]] = set()
    for number, route in enumerate(routes, 1):
        if number % route_document.LINES_PER_STEP == 0:
            yield
        detail = _check_route(route, services)
        key = (route.host.lower(), route.prefix)
        if not detail and key in seen:
            detail = f"duplicate route for {route.host}{route.prefix}"
        if detail:
            return InvalidDocument(route.name, detail)
        seen.add(key)
    return None


def _check_accounts(
    accounts: Sequence[client_account.ClientAccount],
) -> CheckSteps:
    """Returns the first fault of the accounts; it names no key."""
    holders: dict[str, str] = {}
    names: set[str] = set()
    for row, account in enumerate(accounts):
        if row % route_document.LINES_PER_STEP == 0 and row:
            yield
        if account.name in names:
            detail = "name: it is not unique"
            return _make_account_fault(account, row, detail)
        names.add(account.name)
        for key in account.keys:
            holder = holders.setdefault(key, account.name)
            if holder != account.name:
                detail = f"keys: account {holder} has one of them, too"
                return _make_account_fault(account, row, detail)
    return None


def _make_account_fault(
    account: client_account.ClientAccount, row: int, detail: str
) -> InvalidDocument:
    return InvalidDocument("", f"account {account.name}, row {row}: {detail}")


def _check_route(route: route_module.Route, services: set[str]) -> str:
    unknown = [
        target.service
        for target in route.targets
        if target.service not in services
    ]
    weights = [target.weight for target in route.targets]
    has_slashes = route.prefix.startswith("/") and route.prefix.endswith("/")
    faults = (
        (bool(unknown), f"unknown target service {', '.join(unknown)}"),
        (min(weights, default=0) < 0, "a target's weight is below 0"),
        (
            not 0 < sum(weights) <= MAXIMUM_WEIGHT_SUM,
            f"the target weights add up to {sum(weights)}, expected above 0,"
            f" up to {MAXIMUM_WEIGHT_SUM}",
        ),
        (
            not 0 < route.timeout_s <= MAXIMUM_TIMEOUT_S,
            f"timeout of {route.timeout_s} s, expected above 0 s, up to 600 s",
        ),
        (not has_slashes, "the prefix must begin and end with a slash"),
        (route.attempts < 1, "attempts must be at least 1"),
    )
    return next((detail for is_fault, detail in faults if is_fault), "")
