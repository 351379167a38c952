"""Single requests of a client to the ingress of a node."""

import random
import time

from cranberrymux.demo import local_http
from cranberrymux.models import request_ids

_BODY = "crew 7"
_PRINCIPAL = "dispatcher"


def make_request_id() -> str:
    """Returns a new random request id that contains the current time."""
    now_unix_ms = time.time_ns() // 1_000_000
    return request_ids.make_request_id(now_unix_ms, random.SystemRandom())


def post(port: int, path: str, request_id: str, crash_marker: str = "") -> int:
    """Sends a POST request to the ingress of a node on loopback.

    Args:
        port: TCP port of the ingress.
        path: Path of the request.
        request_id: Id of the request.
        crash_marker: Header value that crashes each stand-in with this crash
            marker in its settings; empty for no header.

    Returns:
        HTTP status of the response; 0 if none came in time.
    """
    headers = {
        "Cranberrymux-Request-Id": request_id,
        "Cranberrymux-Principal": _PRINCIPAL,
    }
    if crash_marker:
        headers["Cranberrymux-Standin-Crash"] = crash_marker
    return local_http.send(port, "POST", path, _BODY, headers).status
