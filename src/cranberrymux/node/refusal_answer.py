"""Encodes a node's own answers."""

import json
import math
from typing import NamedTuple
from typing import TypedDict

from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.node.http import headers

_Reason = refusal_reason.RefusalReason
_DEFAULT_STATUS = 503
_STATUSES = {
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
    """JSON body of a node's own answer."""

    answer: str
    reason: str
    detail: str
    request_id: str
    retry_after_ms: int


class EncodedRefusal(NamedTuple):
    """A node's own answer, ready to send.

    Attributes:
        status: Status code.
        headers: Headers but for the body's length.
        body: JSON text.
    """

    status: int
    headers: headers.HeaderList
    body: bytes


def encode_refusal(one: refusal.Refusal, request_id: str) -> EncodedRefusal:
    """Encodes a refusal as status, headers and JSON body."""
    body = RefusalBody(
        answer=one.kind.value,
        reason=one.reason.value,
        detail=one.detail,
        request_id=request_id,
        retry_after_ms=one.retry_after_ms,
    )
    answer_headers: headers.HeaderList = [
        (b"content-type", b"application/json"),
        (b"cranberrymux-answer", one.kind.value.encode()),
        (b"cranberrymux-reason", one.reason.value.encode()),
        (b"cranberrymux-request-id", request_id.encode()),
    ]
    if one.retry_after_ms:
        seconds = math.ceil(one.retry_after_ms / 1000)
        answer_headers.append((b"retry-after", b"%d" % seconds))
        answer_headers.append(
            (b"cranberrymux-retry-after-ms", b"%d" % one.retry_after_ms)
        )
    status = _STATUSES.get(one.reason, _DEFAULT_STATUS)
    return EncodedRefusal(status, answer_headers, json.dumps(body).encode())
