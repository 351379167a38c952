"""Decodes the routing configuration that operators send on the platform."""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any
from typing import TypeVar

from cranberrymux.decisions.routes import backend_service
from cranberrymux.decisions.routes import client_limits
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_document
from cranberrymux.models import json_fields
from cranberrymux.models import json_steps
from cranberrymux.models import steps
from cranberrymux.platform import account_format
from cranberrymux.platform import durations
from cranberrymux.platform import table_format

_Row = TypeVar("_Row")
_REPEATABILITY = {
    "safe": route_module.Repeatability.IDEMPOTENT,
    "unsafe": route_module.Repeatability.ONCE,
    # Requests with large bodies; like `unsafe`, they run at most once.
    "upload": route_module.Repeatability.ONCE,
}


def decode(
    body: bytes,
) -> route_document.RouteDocument | route_document.RouteDocumentError:
    """Decodes a complete configuration; returns an error for any other text."""
    return steps.finish(decode_in_steps(body))


def decode_in_steps(body: bytes) -> route_document.LoadSteps:
    """Decodes as `decode` does.

    There are `route_document.LINES_PER_STEP` rows between two yields.
    """
    try:
        return (yield from _decode(body))
    except ValueError as error:
        return route_document.RouteDocumentError(str(error))


def _decode(
    body: bytes,
) -> Generator[None, None, route_document.RouteDocument]:
    text = body.decode()
    values = yield from json_steps.load_in_steps(text)
    if not isinstance(values, dict):
        raise ValueError("expected a map")
    for name in ("routes", "services"):
        if name not in values:
            raise ValueError(f"{name}: missing")
    if values["routes"] is None:
        raise ValueError("routes: expected a table of columns and rows")
    version = json_fields.read_integer(values, "version")
    limits = _decode_limits(values.get("limits"))
    accounts = yield from _decode_table(
        values, "tenants", account_format.decode
    )
    routes = yield from _decode_table(values, "routes", _decode_route)
    services = yield from _decode_table(values, "services", _decode_service)
    return route_document.RouteDocument(
        version, routes, services, limits, text, accounts
    )


def _decode_table(
    values: Mapping[str, Any],
    name: str,
    decode_row: Callable[[dict[str, Any]], _Row],
) -> Generator[None, None, tuple[_Row, ...]]:
    """Decodes a table; one that is missing has no rows.

    Raises:
        ValueError: A row is invalid; the error names table and row.
    """
    decoded = []
    rows: Iterator[dict[str, Any]] = table_format.read_rows(values.get(name))
    number = 0
    try:
        for number, row in enumerate(rows):
            if number and number % route_document.LINES_PER_STEP == 0:
                yield
            decoded.append(decode_row(row))
    except ValueError as error:
        raise ValueError(f"{name} row {number}: {error}") from error
    return tuple(decoded)


def _decode_limits(values: Any) -> client_limits.ClientLimits:
    if not isinstance(values, dict):
        raise ValueError("limits: expected a map")
    return client_limits.ClientLimits(
        json_fields.read_whole(values, "max_header_bytes", minimum=1),
        json_fields.read_whole(values, "max_body_bytes"),
        durations.read_s(values, "header_timeout"),
        durations.read_s(values, "idle_timeout"),
    )


def _decode_route(values: dict[str, Any]) -> route_module.Route:
    timeout_s = durations.read_s(values, "timeout")
    return route_module.Route(
        name=json_fields.read_text(values, "name"),
        host=json_fields.read_text(values, "host"),
        prefix=json_fields.read_text(values, "path_prefix"),
        targets=_decode_targets(values),
        repeatability=_decode_kind(values),
        attempts=json_fields.read_whole(values, "attempts", default=1),
        timeout_s=timeout_s,
        # Time within which an answer has its full value, not a percentile.
        objective_s=durations.read_s(values, "slo", timeout_s),
        priority=json_fields.read_whole(
            values,
            "priority",
            default=0,
            minimum=-json_fields.MAXIMUM_INTEGER,
        ),
        is_public=json_fields.read_flag(values, "public"),
    )


def _decode_kind(values: dict[str, Any]) -> route_module.Repeatability:
    kind = values.get("kind")
    repeatability = _REPEATABILITY.get(kind) if isinstance(kind, str) else None
    if repeatability is None:
        raise ValueError(f"kind: expected one of {', '.join(_REPEATABILITY)}")
    return repeatability


def _decode_targets(
    values: dict[str, Any],
) -> tuple[route_module.Target, ...]:
    split = values.get("split", [])
    if not isinstance(split, list):
        raise ValueError("split: expected a list")
    targets = [_decode_target(target) for target in split]
    if not targets or "service" in values:
        # Beside a split, the service has no share but must be known.
        service = json_fields.read_text(values, "service")
        targets.append(route_module.Target(service, 0.0 if targets else 1.0))
    return tuple(targets)


def _decode_target(values: Any) -> route_module.Target:
    if not isinstance(values, dict):
        raise ValueError("split: expected maps of service and weight")
    return route_module.Target(
        json_fields.read_text(values, "service"),
        json_fields.read_number(values, "weight"),
    )


def _decode_service(values: dict[str, Any]) -> backend_service.BackendService:
    # These two are not used, but must be of their type.
    json_fields.read_text(values, "protocol", "h1")
    json_fields.read_flag(values, "tls")
    health_path = json_fields.read_text(values, "health", "/health")
    if " " in health_path:
        raise ValueError("health: expected a path without spaces")
    return backend_service.BackendService(
        json_fields.read_text(values, "name"),
        health_path,
        json_fields.read_whole(values, "max_conns", default=0),
    )
