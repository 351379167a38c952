"""Request line and headers of an HTTP request."""

from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers


class RequestHead:
    """Head of a request that was checked and accepted.

    Attributes:
        method: Method in upper case.
        target: Request target as received, not decoded.
        headers: Headers in the order received.
        mode: How the end of the body is found; never `UNTIL_CLOSE`.
        content_length: Length in bytes of a `SIZED` body, else 0.
        keep_alive: True if the client lets the connection stay open after the
            answer.
        is_http_1_0: True if the request is of HTTP/1.0, which has no chunked
            transfer coding and no 1xx answers.
    """

    __slots__ = (
        "content_length",
        "headers",
        "is_http_1_0",
        "keep_alive",
        "method",
        "mode",
        "target",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        head_headers: headers.Headers,
        mode: body_mode.BodyMode,
        content_length: int,
        keep_alive: bool,
        is_http_1_0: bool,
    ) -> None:
        """Takes what was read; see the attributes."""
        self.method = method
        self.target = target
        self.headers = head_headers
        self.mode = mode
        self.content_length = content_length
        self.keep_alive = keep_alive
        self.is_http_1_0 = is_http_1_0
