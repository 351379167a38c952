"""Status line and headers of an HTTP answer."""

from typing import NamedTuple

from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers


class AnswerHead(NamedTuple):
    """Head of a final (not 1xx) answer.

    Attributes:
        status: HTTP status code, from 200 on.
        headers: Name and value pairs in the order received; names in lower
            case.
        mode: How the end of the body is found.
        content_length: Length in bytes of a `SIZED` body, else 0.
    """

    status: int
    headers: headers.HeaderList
    mode: body_mode.BodyMode
    content_length: int
