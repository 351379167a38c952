"""One way from the client to the backend server."""

from typing import NamedTuple


class Path(NamedTuple):
    """Where a request is sent and what it says.

    Attributes:
        name: Name of the figure.
        port: Port on loopback.
        request: The encoded request.
    """

    name: str
    port: int
    request: bytes
