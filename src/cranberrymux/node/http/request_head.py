"""Request line and headers of an HTTP request."""

import dataclasses

from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers


@dataclasses.dataclass(slots=True, eq=False)
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

    method: bytes
    target: bytes
    headers: headers.Headers
    mode: body_mode.BodyMode
    content_length: int
    keep_alive: bool
    is_http_1_0: bool
