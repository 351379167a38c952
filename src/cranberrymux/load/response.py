"""A complete HTTP response."""

from collections.abc import Mapping
from typing import NamedTuple


class Response(NamedTuple):
    """The complete HTTP response to one attempt.

    Attributes:
        status: HTTP status code.
        headers: Header values by name in lower case; the last value of a
            repeated header.
        body: Complete body without transfer encoding.
    """

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes
