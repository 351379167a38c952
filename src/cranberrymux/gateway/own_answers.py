"""Answers that a gateway generates itself."""

import enum
import json

from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call

_BODY_TYPE = (b"content-type", b"application/json")


class Outcome(enum.Enum):
    """Why a gateway answered a request itself.

    The values are metric labels, reasons of log lines and errors in answers.

    Attributes:
        NO_ENDPOINT: No endpoint of the service could be used.
        SHED: Root admission refused the request.
        OVER_QUOTA: The account's quota has no token for the request.
        KEY_UNCONFIRMED: After a wait, the key is no longer known to be valid.
        REFUSED: All endpoints that were asked refused it.
        QUARANTINED: Backend servers died under earlier sendings of it.
        EXPIRED: The deadline passed before it was sent.
        STOPPING: This node stops before the deadline.
        TIMED_OUT: The deadline passed after it was sent.
        LOST: The answer was lost after the request was sent.
        TRUNCATED: A long answer broke off after its head was sent.
    """

    NO_ENDPOINT = "no-endpoint"
    SHED = "shed"
    OVER_QUOTA = "over-quota"
    KEY_UNCONFIRMED = "key-unconfirmed"
    REFUSED = "refused"
    QUARANTINED = "quarantined"
    EXPIRED = "expired"
    STOPPING = "stopping"
    TIMED_OUT = "timed-out"
    LOST = "lost"
    TRUNCATED = "truncated"


def refuse(
    parts: parts_module.GatewayParts,
    call: inbound_call.InboundCall,
    reason: str,
    retry_delay_s: float,
    status: int = 503,
) -> None:
    """Answers that a request did not run and will not.

    Args:
        parts: Shared state of the gateway.
        call: The request.
        reason: Why it did not run; not parsed by callers.
        retry_delay_s: Seconds after which its caller should retry.
        status: HTTP status of the answer.
    """
    dialect = parts.settings.dialect
    retry_after = (dialect.retry_after, b"%.3f" % retry_delay_s)
    headers = [_id_header(parts, call), retry_after, _BODY_TYPE]
    call.answer(status, headers, _encode("not-run", reason))


def fail(
    parts: parts_module.GatewayParts,
    call: inbound_call.InboundCall,
    status: int,
    outcome: Outcome,
    detail: str,
) -> None:
    """Answers that a request may have run.

    Args:
        parts: Shared state of the gateway.
        call: The request.
        status: HTTP status of the answer.
        outcome: Error code in the body.
        detail: Cause; not parsed by callers.
    """
    headers = [_id_header(parts, call), _BODY_TYPE]
    call.answer(status, headers, _encode(outcome.value, detail))


def _id_header(
    parts: parts_module.GatewayParts, call: inbound_call.InboundCall
) -> tuple[bytes, bytes]:
    name = parts.settings.dialect.request_id
    return name, headers_module.find(call.head.headers, name) or b""


def _encode(error: str, detail: str) -> bytes:
    return json.dumps({"error": error, "detail": detail}).encode()
