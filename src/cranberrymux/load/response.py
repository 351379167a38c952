"""A whole HTTP answer."""

from collections.abc import Mapping
from typing import NamedTuple


class Response(NamedTuple):
    """What came back for one attempt.

    Attributes:
        status: HTTP status code.
        headers: Headers by name in lower case.
        body: The whole body.
    """

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes
