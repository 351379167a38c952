"""Framing headers of requests whose body is streamed."""

from cranberrymux.node.http import body_mode
from cranberrymux.node.http import request_head


def encode_streamed(head: request_head.RequestHead) -> bytes:
    """Returns the framing header, and the end of the head, of a request.

    Args:
        head: Head of the received request, whose body is still arriving and
            is passed on with the framing that it has.
    """
    if head.mode is body_mode.BodyMode.CHUNKED:
        return b"transfer-encoding: chunked\r\n\r\n"
    return b"content-length: %d\r\n\r\n" % head.content_length
