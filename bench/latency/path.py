"""A measured path from the client to the backend server."""

from typing import NamedTuple


class Path(NamedTuple):
    """First hop and request of a measured path.

    Attributes:
        name: Name of the path within the names of its figures.
        port: TCP port of the first hop on loopback.
        request: The encoded HTTP request.
    """

    name: str
    port: int
    request: bytes
