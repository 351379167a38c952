"""Encodes refusals as HTTP answers."""

import json
import math
from typing import NamedTuple
from typing import TypedDict

from cranberrymux.models import refusal as refusal_module
from cranberrymux.models import refusal_reason
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call

_Reason = refusal_reason.RefusalReason
_DEFAULT_STATUS = 503
_STATUSES_BY_REASON = {
    _Reason.BAD_REQUEST: 400,
    _Reason.ALREADY_RAN: 409,
    _Reason.ID_REUSED: 409,
    _Reason.ID_EXPIRED: 409,
    _Reason.TOO_LARGE: 413,
    _Reason.QUARANTINED: 422,
    _Reason.CONNECTION_LOST: 502,
    _Reason.TRUNCATED: 502,
    _Reason.DEADLINE_EXPIRED: 504,
}


class RefusalBody(TypedDict):
    """JSON body of a refusal.

    Attributes:
        answer: Value of an `AnswerKind`.
        reason: Value of a `RefusalReason`.
        detail: One-line description for people.
        request_id: Id of the whole request; empty if unknown.
        retry_after_ms: Delay in milliseconds after which the caller may retry;
            0 if it must not retry.
    """

    answer: str
    reason: str
    detail: str
    request_id: str
    retry_after_ms: int


class EncodedRefusal(NamedTuple):
    """Status, headers and body of a refusal.

    Attributes:
        status: HTTP status.
        headers: Headers without `content-length`.
        body: JSON text.
    """

    status: int
    headers: headers.HeaderList
    body: bytes


def encode_refusal(
    refusal: refusal_module.Refusal, request_id: str
) -> EncodedRefusal:
    """Encodes a refusal as status, headers and JSON body.

    Args:
        refusal: The refusal; its reason determines the status.
        request_id: Id of the whole request; empty if unknown.
    """
    body = RefusalBody(
        answer=refusal.kind.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
        request_id=request_id,
        retry_after_ms=refusal.retry_after_ms,
    )
    answer_headers: headers.HeaderList = [
        (b"content-type", b"application/json"),
        (b"cranberrymux-answer", refusal.kind.value.encode()),
        (b"cranberrymux-reason", refusal.reason.value.encode()),
        (b"cranberrymux-request-id", request_id.encode()),
    ]
    if refusal.retry_after_ms:
        retry_after_s = math.ceil(refusal.retry_after_ms / 1000)
        answer_headers.append((b"retry-after", b"%d" % retry_after_s))
        answer_headers.append(
            (b"cranberrymux-retry-after-ms", b"%d" % refusal.retry_after_ms)
        )
    status = _STATUSES_BY_REASON.get(refusal.reason, _DEFAULT_STATUS)
    return EncodedRefusal(status, answer_headers, json.dumps(body).encode())


def send(
    call: inbound_call.InboundCall,
    refusal: refusal_module.Refusal,
    request_id: str = "",
) -> None:
    """Answers a call with a refusal.

    Args:
        call: The call.
        refusal: The refusal; its reason determines the status.
        request_id: Id of the whole request; empty if unknown.
    """
    encoded = encode_refusal(refusal, request_id)
    call.answer(encoded.status, encoded.headers, encoded.body)
