"""Configuration of a service's backend servers."""

from typing import NamedTuple


class BackendService(NamedTuple):
    """Health check and connection limit of one service's backend servers.

    Attributes:
        name: Service name that routes refer to.
        health_path: URL path of the health check.
        maximum_connections: Most connections that one backend server accepts.
    """

    name: str
    health_path: str
    maximum_connections: int
