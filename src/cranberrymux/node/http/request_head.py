"""The head of a request."""

from typing import NamedTuple

from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers


class RequestHead(NamedTuple):
    """Request line and headers.

    Attributes:
        method: In upper case.
        target: Request target as it came.
        headers: Names in lower case, in order.
        mode: Framing of the body.
        content_length: Length of a sized body in bytes, else 0.
        keep_alive: True if the connection stays open after the answer.
        is_http_1_0: True if the client speaks HTTP/1.0.
    """

    method: bytes
    target: bytes
    headers: headers.HeaderList
    mode: body_mode.BodyMode
    content_length: int
    keep_alive: bool
    is_http_1_0: bool
