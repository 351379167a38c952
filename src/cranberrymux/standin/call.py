"""One call as a stand-in takes it."""

from typing import NamedTuple

from twisted.web import http_headers

COPIED_HEADERS = (
    "Cranberrymux-Context",
    "Cranberrymux-Request-Id",
    "Cranberrymux-Standin-Crash",
)


class Call(NamedTuple):
    """What a stand-in needs of a call to run it.

    Attributes:
        request_id: Id of the whole request; empty if the caller gave none.
        call_id: Id of the call within it; empty without a context.
        method: HTTP method.
        path: Path as the caller wrote it.
        headers: Headers copied onto the calls made for this one.
    """

    request_id: str
    call_id: str
    method: str
    path: str
    headers: http_headers.Headers


def read(method: bytes, path: bytes, headers: http_headers.Headers) -> Call:
    """Reads a call from the parts of an HTTP request."""
    copied = http_headers.Headers()
    for name in COPIED_HEADERS:
        value = headers.getRawHeaders(name)
        if value:
            copied.addRawHeader(name, value[0])
    request_id = _first(copied, "Cranberrymux-Request-Id")
    parts = _first(copied, "Cranberrymux-Context").split(";")
    call_id = parts[2] if len(parts) > 2 else ""
    if not request_id and len(parts) > 1:
        request_id = parts[1]
    return Call(
        request_id,
        call_id,
        method.decode("ascii", "replace"),
        path.decode("ascii", "replace"),
        copied,
    )


def _first(headers: http_headers.Headers, name: str) -> str:
    values = headers.getRawHeaders(name)
    return values[0] if values else ""
