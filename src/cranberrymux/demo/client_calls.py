"""Single requests of a client to the nodes of the demo."""

import random
import time

from cranberrymux.demo import local_http
from cranberrymux.models import request_ids

_BODY = "crew 7"
_PRINCIPAL = "dispatcher"


def make_request_id() -> str:
    """Returns a new id of a request."""
    now_unix_ms = time.time_ns() // 1_000_000
    return request_ids.make_request_id(now_unix_ms, random.SystemRandom())


def post(port: int, path: str, request_id: str, crash_marker: str = "") -> int:
    """Sends a request to the ingress of a node.

    Args:
        port: TCP port of the ingress.
        path: Path of the request.
        request_id: Its id.
        crash_marker: Ends the stand-in that knows it; empty for none.

    Returns:
        The status of the answer; 0 if there was none.
    """
    headers = {
        "Cranberrymux-Request-Id": request_id,
        "Cranberrymux-Principal": _PRINCIPAL,
    }
    if crash_marker:
        headers["Cranberrymux-Standin-Crash"] = crash_marker
    return local_http.send(port, "POST", path, _BODY, headers).status
