"""Configurations that must be refused, one kind for each reason."""

import json

from tests.soak.configuration import documents

_DEPTH = 100_000
_SMALL_DEPTH = 5_000
# Places of values in a row of the routes.
_TIMEOUT, _SPLIT, _SERVICE = 4, 7, 9


def _get_route(values):
    return values["routes"]["rows"][0]


def _set_timeout(text):
    def change(values):
        _get_route(values)[_TIMEOUT] = text

    return change


def _set_service(values):
    _get_route(values)[_SERVICE] = "unknown"


def _set_split(*weights, services=documents.SERVICES):
    def change(values):
        _get_route(values)[_SERVICE] = None
        _get_route(values)[_SPLIT] = [
            {"service": service, "weight": weight}
            for service, weight in zip(services, weights, strict=False)
        ]

    return change


def _repeat_prefix(values):
    route = _get_route(values)
    values["routes"]["rows"].append(["again", *route[1:]])


def _make_version_text(values):
    values["version"] = str(values["version"])


def _remove(key):
    return lambda values: values.pop(key)


_CHANGES = {
    "unknown-service": _set_service,
    "unknown-service-in-split": _set_split(1, 1, services=("s2", "unknown")),
    "same-prefix": _repeat_prefix,
    "weights-zero": _set_split(0, 0),
    "weight-negative": _set_split(3, -1),
    "weight-nan": _set_split(float("nan"), 1),
    "weight-infinite": _set_split(1, float("inf")),
    "timeout-long": _set_timeout("601s"),
    "timeout-unreadable": _set_timeout("soon"),
    "timeout-nan": _set_timeout("nans"),
    "version-text": _make_version_text,
    "no-version": _remove("version"),
    "no-routes": _remove("routes"),
    "no-services": _remove("services"),
}
_BODIES = {
    "cut-short": lambda body: body[: len(body) // 2],
    "empty": lambda _: b"",
    "no-json": lambda body: b"\x16\x03" + body,
    "no-utf-8": lambda body: body.replace(b"h.example", b"h\xff.example", 1),
    "nested-deeply": lambda _: b"[" * _DEPTH,
    "nested": lambda _: b"[" * _SMALL_DEPTH,
    "nested-routes": lambda _: (
        b'{"routes":' + b"[" * _SMALL_DEPTH + b"]" * _SMALL_DEPTH + b"}"
    ),
}
_NOT_ABOVE = "version-not-above"
KINDS = (*_CHANGES, *_BODIES, _NOT_ABOVE)


def make(kind, drawer, base):
    """Returns an invalid configuration on top of a valid one."""
    drawn = drawer.draw(base, base.version if kind == _NOT_ABOVE else None)
    body = drawn.body
    if kind in _BODIES:
        body = _BODIES[kind](body)
    elif kind in _CHANGES:
        values = json.loads(body)
        _CHANGES[kind](values)
        body = json.dumps(values).encode()
    routes = drawn.routes
    if kind.startswith("weight"):
        # Were it accepted, either service might run requests.
        routes = {**routes, next(iter(routes)): documents.SERVICES[:2]}
    return drawn._replace(routes=routes, body=body, invalid_kind=kind)
