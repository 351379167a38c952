"""Single HTTP requests on loopback."""

import http.client
import json
import random
import time
from typing import Any
from typing import NamedTuple

from cranberrymux.models import request_ids


class Answer(NamedTuple):
    """An answer.

    Attributes:
        status: Status code; 0 if there was no answer.
        body: The body.
    """

    status: int
    body: bytes


def make_request_id() -> str:
    """Makes the id of a new request."""
    now_ms = time.time_ns() // 1_000_000
    return request_ids.make_request_id(now_ms, random.SystemRandom())


def post(
    port: int,
    path: str,
    request_id: str,
    extra: dict[str, str] | None = None,
) -> int:
    """Sends a POST under a request id; returns the status, 0 for none."""
    status, _ = request(
        port,
        "POST",
        path,
        "crew 7",
        {
            "Cranberrymux-Request-Id": request_id,
            "Cranberrymux-Principal": "dispatcher",
            **(extra or {}),
        },
    )
    return status


def get(port: int, path: str) -> dict[str, Any] | None:
    """Returns the JSON at a path; None if it is not given."""
    status, body = request(port, "GET", path, "", {})
    if status != 200:
        return None
    values: dict[str, Any] = json.loads(body)
    return values


def request(
    port: int, method: str, path: str, body: str, extra: dict[str, str]
) -> Answer:
    """Sends a request on a new connection."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body or None, extra)
        answer = connection.getresponse()
        return Answer(answer.status, answer.read())
    except OSError:
        return Answer(0, b"")
    finally:
        connection.close()
