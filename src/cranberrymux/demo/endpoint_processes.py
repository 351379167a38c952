"""The processes and ports of one endpoint."""

from typing import NamedTuple

from cranberrymux.demo import process


class EndpointProcesses(NamedTuple):
    """A node and its backend server, a stand-in.

    Attributes:
        service: Name of the service.
        node_id: Id of the node, also the endpoint name of the stand-in.
        zone: Availability zone.
        ingress_port: TCP port for requests of clients and other nodes.
        egress_port: TCP port for the calls of the backend server.
        announce_port: TCP port for announcements of the backend server and for
            the status.
        backend_port: TCP port of the stand-in.
        node: Process of the node.
        backend: Process of the stand-in; None if the node was started alone.
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
