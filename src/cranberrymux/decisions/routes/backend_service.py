"""What operators say of a service's backend servers."""

from typing import NamedTuple


class BackendService(NamedTuple):
    """Terms of the backend servers of one service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one backend server accepts.
    """

    name: str
    health_path: str
    max_connections: int
