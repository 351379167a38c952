"""The two processes of an endpoint."""

from typing import NamedTuple

from cranberrymux.demo import process


class EndpointProcesses(NamedTuple):
    """A node and the stand-in beside it.

    Attributes:
        service: Name of the service.
        node_id: Name of the node.
        zone: Availability zone.
        ingress_port: Port of the node for clients and nodes.
        egress_port: Port of the node for its backend server's calls.
        announce_port: Port of the node for its backend server.
        backend_port: Port of the stand-in.
        node: The node.
        backend: The stand-in backend server; None if there is none.
    """

    service: str
    node_id: str
    zone: str
    ingress_port: int
    egress_port: int
    announce_port: int
    backend_port: int
    node: process.Process
    backend: process.Process | None
