"""Blocking HTTP requests to processes on loopback."""

from collections.abc import Mapping
import json
import socket
from typing import Any
from typing import NamedTuple

import httptools

from cranberrymux.demo import response_reader

_HOST = "127.0.0.1"
_TIMEOUT_S = 5
_READ_BYTES = 65_536
_OK = 200


class Response(NamedTuple):
    """The response of a process, or its absence.

    Attributes:
        status: HTTP status code; 0 if there was no whole response.
        body: Complete body; empty if there was no whole response.
    """

    status: int
    body: bytes


_NO_RESPONSE = Response(0, b"")


def send(
    port: int,
    method: str,
    path: str,
    body: str = "",
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Sends one request on a new connection.

    Args:
        port: TCP port on loopback.
        method: HTTP method other than HEAD.
        path: Path and query.
        body: Body; empty for none.
        headers: Headers besides those of the connection and the body.

    Returns:
        The response; its status is 0 if none came whole and in time.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {_HOST}:{port}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    data = body.encode()
    lines += [f"Content-Length: {len(data)}", "Connection: close"]
    request = "\r\n".join(lines).encode() + b"\r\n\r\n" + data
    try:
        with socket.create_connection((_HOST, port), _TIMEOUT_S) as connection:
            connection.sendall(request)
            return _read_response(connection)
    except (OSError, httptools.HttpParserError):
        return _NO_RESPONSE


def read_json(port: int, path: str) -> dict[str, Any] | None:
    """Gets a JSON object; None if there is no response with status 200."""
    response = send(port, "GET", path)
    if response.status != _OK:
        return None
    values: dict[str, Any] = json.loads(response.body)
    return values


def _read_response(connection: socket.socket) -> Response:
    reader = response_reader.ResponseReader()
    while not reader.is_whole:
        data = connection.recv(_READ_BYTES)
        if not data:
            reader.end()
            break
        reader.feed(data)
    if not reader.is_whole:
        return _NO_RESPONSE
    return Response(reader.status, reader.body)
