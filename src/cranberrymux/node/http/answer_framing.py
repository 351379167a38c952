"""Reads from the head of an answer how its body is framed."""

import re

from cranberrymux.node.http import answer_head
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers as headers_module

_BODYLESS_STATUSES = (204, 304)
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")


def holds_status_line(
    reason_phrase: bytes, headers: headers_module.HeaderList
) -> bool:
    """Returns whether another status line stands within a head.

    A sender that breaks off within a line and starts the next answer behind
    it joins the heads of both.

    Args:
        reason_phrase: What stands behind the status.
        headers: Headers of the answer.
    """
    values = [value for _, value in headers]
    return _STATUS_LINE.search(b"\n".join([reason_phrase, *values])) is not None


def has_plain_coding(headers: headers_module.HeaderList) -> bool:
    """Returns whether the body is sent as it is, or in plain chunks."""
    codings = [
        value.strip().lower()
        for name, value in headers
        if name == b"transfer-encoding"
    ]
    return codings in ([], [b"chunked"])


def make_head(
    status: int, headers: headers_module.Headers, *, is_head_request: bool
) -> answer_head.AnswerHead:
    """Returns the head of an answer with the framing of its body.

    Args:
        status: Status code.
        headers: Headers of the answer.
        is_head_request: True if it answers a HEAD, so that no body follows.
    """
    length = headers.first.get(b"content-length")
    is_chunked = b"transfer-encoding" in headers.first
    mode = body_mode.BodyMode.UNTIL_CLOSE
    size = 0
    if is_chunked:
        mode = body_mode.BodyMode.CHUNKED
    elif length is not None and length.isdigit():
        mode = body_mode.BodyMode.SIZED
        size = int(length)
    elif is_head_request or status in _BODYLESS_STATUSES:
        mode = body_mode.BodyMode.NONE
    return answer_head.AnswerHead(status, headers, mode, size)
