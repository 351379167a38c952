"""Encodes the answer to a request that is rejected while it is read."""

import json

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason
from cranberrymux.node.http import bad_message
from cranberrymux.node.http import correlation
from cranberrymux.node.http import headers

_Reason = refusal_reason.RefusalReason
_SIZE_STATUSES = (413, 414, 431)


def encode(
    bad: bad_message.BadMessage,
    kind: answer_kind.AnswerKind,
    received: headers.Headers,
) -> bytes:
    """Encodes a whole answer, after which the connection must be closed.

    Args:
        bad: Why the request is rejected.
        kind: `NOT_RUN`, or `UNKNOWN` if part of the body was passed on to a
            backend server.
        received: Headers of the request that were read before its rejection.

    Returns:
        Status line, headers and JSON body.
    """
    reason = _Reason.BAD_REQUEST
    if bad.status in _SIZE_STATUSES:
        reason = _Reason.TOO_LARGE
    body = json.dumps(
        {
            "answer": kind.value,
            "reason": reason.value,
            "detail": bad.detail,
            "request_id": "",
            "retry_after_ms": 0,
        }
    ).encode()
    return (
        b"HTTP/1.1 %d Rejected\r\ncontent-type: application/json\r\n"
        b"cranberrymux-answer: %b\r\ncranberrymux-reason: %b\r\n"
        b"%bconnection: close\r\ncontent-length: %d\r\n\r\n%b"
        % (
            bad.status,
            kind.value.encode(),
            reason.value.encode(),
            headers.encode(correlation.find_header(received)),
            len(body),
            body,
        )
    )
