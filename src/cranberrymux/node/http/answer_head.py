"""The head of an answer."""

from typing import NamedTuple

from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers


class AnswerHead(NamedTuple):
    """Status line and headers.

    Attributes:
        status: Status code.
        headers: Names in lower case, in order.
        mode: Framing of the body.
        content_length: Length of a sized body in bytes, else 0.
    """

    status: int
    headers: headers.HeaderList
    mode: body_mode.BodyMode
    content_length: int
