"""JSON answers to the platform's HTTP calls."""

import json
from typing import Any

from cranberrymux.node.http import inbound_call

_JSON_CONTENT_TYPE = (b"content-type", b"application/json")


def send(
    call: inbound_call.InboundCall,
    status: int,
    body: Any,
    *extra: tuple[bytes, bytes],
) -> None:
    """Answers a call with a JSON body.

    Args:
        call: The call.
        status: HTTP status code.
        body: Value to encode as JSON.
        *extra: Headers in addition to the content type.
    """
    call.answer(status, [_JSON_CONTENT_TYPE, *extra], json.dumps(body).encode())
