"""A call to a stand-in, parsed from its HTTP request."""

from typing import NamedTuple

from twisted.web import http_headers

COPIED_HEADERS = (
    "Cranberrymux-Context",
    "Cranberrymux-Request-Id",
    "Cranberrymux-Standin-Crash",
)


class Call(NamedTuple):
    """The parts of an HTTP request that a stand-in needs to run the call.

    Attributes:
        request_id: Id of the request that the call belongs to, from its own
            header or else from the context; empty without both.
        call_id: Id of the call within the request; empty without a context.
        method: HTTP method.
        path: Path and query as the caller sent them.
        headers: Those of `COPIED_HEADERS` that the call has, to be sent on with
            its child calls.
    """

    request_id: str
    call_id: str
    method: str
    path: str
    headers: http_headers.Headers


def parse(method: bytes, path: bytes, headers: http_headers.Headers) -> Call:
    """Builds a call from the parts of an HTTP request.

    Args:
        method: HTTP method.
        path: Path and query.
        headers: All headers of the request; the first value of each counts.
    """
    copied = http_headers.Headers()
    for name in COPIED_HEADERS:
        value = headers.getRawHeaders(name)
        if value:
            copied.addRawHeader(name, value[0])
    request_id = _first_value(copied, "Cranberrymux-Request-Id")
    context_fields = _first_value(copied, "Cranberrymux-Context").split(";")
    call_id = context_fields[2] if len(context_fields) > 2 else ""
    if not request_id and len(context_fields) > 1:
        request_id = context_fields[1]
    return Call(
        request_id,
        call_id,
        method.decode("ascii", "replace"),
        path.decode("ascii", "replace"),
        copied,
    )


def _first_value(headers: http_headers.Headers, name: str) -> str:
    values = headers.getRawHeaders(name)
    return values[0] if values else ""
