"""Short answers to the platform's own calls."""

import json
from typing import Any

from cranberrymux.node.http import inbound_call

_JSON = (b"content-type", b"application/json")


def answer(
    call: inbound_call.InboundCall,
    status: int,
    body: Any,
    *extra: tuple[bytes, bytes],
) -> None:
    """Answers with a JSON body."""
    call.answer(status, [_JSON, *extra], json.dumps(body).encode())
