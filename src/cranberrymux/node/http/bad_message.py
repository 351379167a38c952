"""Result of reading a request that is not valid or over a limit."""

from typing import NamedTuple


class BadMessage(NamedTuple):
    """Why a request was rejected before it became a call.

    Attributes:
        status: Status code of the answer: 400, 413, 414, 417, 431, 501 or 503.
        detail: Readable reason in one line, sent to the client.
    """

    status: int
    detail: str
