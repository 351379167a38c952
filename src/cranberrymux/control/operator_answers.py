"""Answers that the operators' HTTP API has in common."""

import json
import math
from typing import Any

from twisted.web import http

from cranberrymux.control import conversions
from cranberrymux.models import whole_number


def answer(request: Any, status: int, body: Any) -> bytes:
    """Returns the body of a JSON answer, and sets its status."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    return json.dumps(body).encode() + b"\n"


def refuse_token(request: Any) -> bytes:
    """Answers 401: the request has no valid token."""
    request.setHeader(b"WWW-Authenticate", b"Bearer")
    return answer(request, http.UNAUTHORIZED, {"detail": "wrong token"})


def refuse_unvouched(request: Any) -> bytes:
    """Answers 503: this instance does not vouch for its state."""
    _set_retry_after(request, conversions.UNAVAILABLE_RETRY_MS)
    detail = "this control instance has no contact with a quorum"
    return answer(request, http.SERVICE_UNAVAILABLE, {"detail": detail})


def refuse_uncommitted(request: Any, command_answer: Any) -> bytes:
    """Answers 503 to a change that is not known to be committed.

    Args:
        request: The request.
        command_answer: The `CommandAnswer`, whose `committed` is false.
    """
    _set_retry_after(
        request,
        command_answer.retry_after_ms or conversions.UNAVAILABLE_RETRY_MS,
    )
    if command_answer.rejected:
        detail = "not accepted: no quorum; it will not be accepted later"
    else:
        detail = "no answer in time; send the same change id again"
    body = {
        "detail": detail,
        "rejected": command_answer.rejected,
        "leader": command_answer.leader,
    }
    return answer(request, http.SERVICE_UNAVAILABLE, body)


def _set_retry_after(request: Any, retry_after_ms: int) -> None:
    seconds = math.ceil(retry_after_ms / 1000)
    request.setHeader(b"Retry-After", str(seconds).encode())


def read_number(request: Any, name: bytes, default: int) -> int:
    """Returns a number from the query; the default if it is not digits."""
    values = request.args.get(name, [])
    number = whole_number.decode(values[0]) if values else None
    return default if number is None else number
