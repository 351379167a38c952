"""Decodes the routing configuration that operators send on the platform."""

from collections.abc import Generator
from collections.abc import Iterator
from typing import Any

from cranberrymux.decisions.routes import backend_service
from cranberrymux.decisions.routes import client_limits
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_document
from cranberrymux.models import json_steps
from cranberrymux.models import steps
from cranberrymux.platform import account_format
from cranberrymux.platform import durations

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

    There are `route_document.LINES_PER_STEP` accounts between two yields.
    """
    try:
        return (yield from _decode(body))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return route_document.RouteDocumentError(
            f"{type(error).__name__}: {error}"
        )


def _decode(
    body: bytes,
) -> Generator[None, None, route_document.RouteDocument]:
    text = body.decode()
    values = yield from json_steps.load_in_steps(text)
    version = values["version"]
    if not isinstance(version, int) or isinstance(version, bool):
        raise ValueError("version: expected an integer")
    limits = values["limits"]
    accounts = []
    for row, account_values in enumerate(_rows(values.get("tenants"))):
        if row % route_document.LINES_PER_STEP == 0 and row:
            yield
        accounts.append(account_format.decode(row, account_values))
    return route_document.RouteDocument(
        version,
        tuple(_decode_route(row) for row in _rows(values["routes"])),
        tuple(_decode_service(row) for row in _rows(values["services"])),
        client_limits.ClientLimits(
            int(limits["max_header_bytes"]),
            int(limits["max_body_bytes"]),
            durations.parse_s(limits["header_timeout"]),
            durations.parse_s(limits["idle_timeout"]),
        ),
        text,
        tuple(accounts),
    )


def _rows(table: Any) -> Iterator[dict[str, Any]]:
    """Yields each row as a mapping from column to value, without nulls.

    A table that is missing has no rows.
    """
    if table is None:
        return
    columns = table["columns"]
    for row in table["rows"]:
        if len(row) != len(columns):
            raise ValueError(
                "rows: expected one value for each column in every row"
            )
        pairs = zip(columns, row, strict=True)
        yield {name: value for name, value in pairs if value is not None}


def _decode_route(values: dict[str, Any]) -> route_module.Route:
    split = values.get("split")
    if split:
        targets = tuple(
            route_module.Target(str(target["service"]), float(target["weight"]))
            for target in split
        )
    else:
        targets = (route_module.Target(str(values["service"]), 1.0),)
    timeout_s = durations.parse_s(values["timeout"])
    return route_module.Route(
        name=str(values["name"]),
        host=str(values["host"]),
        prefix=str(values["path_prefix"]),
        targets=targets,
        repeatability=_REPEATABILITY[values["kind"]],
        attempts=int(values.get("attempts", 1)),
        timeout_s=timeout_s,
        # Time within which an answer has its full value, not a percentile.
        objective_s=durations.parse_s(values.get("slo", values["timeout"])),
        priority=int(values.get("priority", 0)),
        is_public=_decode_flag(values, "public"),
    )


def _decode_flag(values: dict[str, Any], field: str) -> bool:
    value = values.get(field, False)
    if not isinstance(value, bool):
        raise ValueError(f"{field}: expected true or false")
    return value


def _decode_service(values: dict[str, Any]) -> backend_service.BackendService:
    return backend_service.BackendService(
        str(values["name"]),
        str(values.get("health", "/health")),
        int(values.get("max_conns", 0)),
    )
