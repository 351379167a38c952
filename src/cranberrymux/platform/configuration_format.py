"""The platform's configuration, as operators send and read it."""

import json
from typing import Any

from cranberrymux.decisions.routes import backend_service
from cranberrymux.decisions.routes import client_limits
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_document
from cranberrymux.platform import durations

_REPEATABILITY = {
    "safe": route_module.Repeatability.IDEMPOTENT,
    "unsafe": route_module.Repeatability.ONCE,
    # Large bodies; may run once at most, like `unsafe`.
    "upload": route_module.Repeatability.ONCE,
}


def decode(
    body: bytes,
) -> route_document.RouteDocument | route_document.RouteDocumentError:
    """Reads a whole configuration."""
    try:
        return _decode(body)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return route_document.RouteDocumentError(
            f"{type(error).__name__}: {error}"
        )


def _decode(body: bytes) -> route_document.RouteDocument:
    text = body.decode()
    values = json.loads(text)
    version = values["version"]
    if not isinstance(version, int) or isinstance(version, bool):
        raise ValueError("version is no whole number")
    limits = values["limits"]
    return route_document.RouteDocument(
        version,
        tuple(_decode_route(one) for one in _rows(values["routes"])),
        tuple(_decode_service(one) for one in _rows(values["services"])),
        client_limits.ClientLimits(
            int(limits["max_header_bytes"]),
            int(limits["max_body_bytes"]),
            durations.read_s(limits["header_timeout"]),
            durations.read_s(limits["idle_timeout"]),
        ),
        text,
    )


def _rows(table: Any) -> list[dict[str, Any]]:
    columns = table["columns"]
    rows = []
    for row in table["rows"]:
        if len(row) != len(columns):
            raise ValueError("a row is shorter or longer than its columns")
        pairs = zip(columns, row, strict=True)
        rows.append({name: one for name, one in pairs if one is not None})
    return rows


def _decode_route(values: dict[str, Any]) -> route_module.Route:
    split = values.get("split")
    if split:
        targets = tuple(
            route_module.Target(str(one["service"]), float(one["weight"]))
            for one in split
        )
    else:
        targets = (route_module.Target(str(values["service"]), 1.0),)
    timeout_s = durations.read_s(values["timeout"])
    return route_module.Route(
        name=str(values["name"]),
        host=str(values["host"]),
        prefix=str(values["path_prefix"]),
        targets=targets,
        repeatability=_REPEATABILITY[values["kind"]],
        attempts=int(values.get("attempts", 1)),
        timeout_s=timeout_s,
        # The time of the full worth of an answer, not a percentile.
        objective_s=durations.read_s(values.get("slo", values["timeout"])),
        priority=int(values.get("priority", 0)),
    )


def _decode_service(values: dict[str, Any]) -> backend_service.BackendService:
    return backend_service.BackendService(
        str(values["name"]),
        str(values.get("health", "/health")),
        int(values.get("max_conns", 0)),
    )
