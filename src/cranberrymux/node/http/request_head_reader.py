"""Validates the head of a request and determines its body framing."""

from typing import Any

from cranberrymux.node.http import bad_message
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers
from cranberrymux.node.http import limits
from cranberrymux.node.http import request_head

_MAXIMUM_LENGTH_DIGITS = 18


def read_head(
    parser: Any,
    target: bytes,
    head_headers: headers.Headers,
    message_limits: limits.Limits,
) -> request_head.RequestHead | bad_message.BadMessage:
    """Builds a request head from what the parser has read.

    Args:
        parser: The `httptools` parser, which has just read the headers.
        target: Request target.
        head_headers: Headers in the order received.
        message_limits: Limits on the request; only that of the body is
            checked here.

    Returns:
        The head, or why the request is rejected.
    """
    first = head_headers.first
    method = parser.get_method()
    has_body = b"transfer-encoding" in first or b"content-length" in first
    mode = body_mode.BodyMode.NONE
    size = 0
    if has_body:
        coding = first.get(b"transfer-encoding")
        length = first.get(b"content-length")
        bad = _check_framing(coding, length, message_limits)
        if bad is not None:
            return bad
        size = int(length) if length is not None else 0
        if coding is not None:
            mode = body_mode.BodyMode.CHUNKED
        elif size:
            mode = body_mode.BodyMode.SIZED
    if (has_body or method == b"CONNECT") and parser.should_upgrade():
        # The parser leaves such a body unread. Without one, the request is
        # served as if it had not asked for another protocol.
        return bad_message.BadMessage(501, "upgrade is not served")
    if b"expect" in first and first[b"expect"].lower() != b"100-continue":
        return bad_message.BadMessage(417, "only 100-continue can be expected")
    return request_head.RequestHead(
        method,
        target,
        head_headers,
        mode,
        size,
        parser.should_keep_alive(),
        parser.get_http_version() == "1.0",
    )


def _check_framing(
    coding: bytes | None, length: bytes | None, message_limits: limits.Limits
) -> bad_message.BadMessage | None:
    if length is not None:
        is_number = length.isdigit() and len(length) <= _MAXIMUM_LENGTH_DIGITS
        if not is_number:
            return bad_message.BadMessage(400, "content-length is no number")
        if int(length) > message_limits.body_bytes:
            detail = f"body over {message_limits.body_bytes} bytes"
            return bad_message.BadMessage(413, detail)
    if coding is None:
        return None
    if coding.lower() != b"chunked":
        detail = "only the chunked transfer coding is served"
        return bad_message.BadMessage(501, detail)
    if length is not None:
        detail = "both content-length and transfer-encoding"
        return bad_message.BadMessage(400, detail)
    return None
