"""Blocking HTTP requests to processes on loopback."""

import http.client
import json
from typing import Any
from typing import NamedTuple

_HOST = "127.0.0.1"
_TIMEOUT_S = 5
_OK = 200


class Response(NamedTuple):
    """The response of a process, or its absence.

    Attributes:
        status: HTTP status code; 0 if there was no response.
        body: Complete body; empty if there was no response.
    """

    status: int
    body: bytes


def send(
    port: int,
    method: str,
    path: str,
    body: str = "",
    headers: dict[str, str] | None = None,
) -> Response:
    """Sends one request on a new connection.

    Args:
        port: TCP port on loopback.
        method: HTTP method.
        path: Path and query.
        body: Body; empty for none.
        headers: Headers in addition to those that `http.client` sets.

    Returns:
        The response; its status is 0 if none came in time.
    """
    connection = http.client.HTTPConnection(_HOST, port, timeout=_TIMEOUT_S)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        return Response(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return Response(0, b"")
    finally:
        connection.close()


def read_json(port: int, path: str) -> dict[str, Any] | None:
    """Gets a JSON object; None if there is no response with status 200."""
    response = send(port, "GET", path)
    if response.status != _OK:
        return None
    values: dict[str, Any] = json.loads(response.body)
    return values
