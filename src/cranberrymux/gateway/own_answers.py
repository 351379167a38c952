"""Answers that a gateway gives of its own."""

import enum
import json

from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call

_BODY_TYPE = (b"content-type", b"application/json")


class Outcome(enum.Enum):
    """How a request ended that a gateway answers itself."""

    NO_ENDPOINT = "no-endpoint"
    SHED = "shed"
    REFUSED = "refused"
    EXPIRED = "expired"
    STOPPING = "stopping"
    TIMED_OUT = "timed-out"
    LOST = "lost"
    TRUNCATED = "truncated"


def refuse(
    parts: parts_module.GatewayParts,
    call: inbound_call.InboundCall,
    reason: str,
    wait_s: float,
) -> None:
    """Answers that a request did not run and never will.

    Args:
        parts: The gateway's parts.
        call: The request.
        reason: Why; for people.
        wait_s: When its caller should come back.
    """
    dialect = parts.settings.dialect
    retry_after = (dialect.retry_after, b"%.3f" % wait_s)
    headers = [_id_header(parts, call), retry_after, _BODY_TYPE]
    call.answer(503, headers, _encode("not-run", reason))


def fail(
    parts: parts_module.GatewayParts,
    call: inbound_call.InboundCall,
    status: int,
    outcome: Outcome,
    detail: str,
) -> None:
    """Answers that it is not known whether a request ran."""
    headers = [_id_header(parts, call), _BODY_TYPE]
    call.answer(status, headers, _encode(outcome.value, detail))


def _id_header(
    parts: parts_module.GatewayParts, call: inbound_call.InboundCall
) -> tuple[bytes, bytes]:
    name = parts.settings.dialect.request_id
    return name, headers_module.find(call.head.headers, name) or b""


def _encode(error: str, detail: str) -> bytes:
    return json.dumps({"error": error, "detail": detail}).encode()
