"""Blocking HTTP requests to processes on this instance."""

import http.client
import json
from typing import Any
from typing import NamedTuple

_HOST = "127.0.0.1"
_TIMEOUT_S = 5
_OK = 200


class Answer(NamedTuple):
    """The answer of a process.

    Attributes:
        status: HTTP status; 0 if there was no answer.
        body: The whole body.
    """

    status: int
    body: bytes


def send(
    port: int,
    method: str,
    path: str,
    body: str = "",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends one request on a connection of its own.

    Args:
        port: TCP port on loopback.
        method: HTTP method.
        path: Path and query.
        body: Body; empty for none.
        headers: Headers besides those of the library.

    Returns:
        The answer; its status is 0 if none came in time.
    """
    connection = http.client.HTTPConnection(_HOST, port, timeout=_TIMEOUT_S)
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, answer.read())
    except (OSError, http.client.HTTPException):
        return Answer(0, b"")
    finally:
        connection.close()


def read_json(port: int, path: str) -> dict[str, Any] | None:
    """Gets a JSON map; None if there is no answer with status 200."""
    answer = send(port, "GET", path)
    if answer.status != _OK:
        return None
    values: dict[str, Any] = json.loads(answer.body)
    return values
