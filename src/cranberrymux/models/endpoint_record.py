"""The directory entry of an endpoint."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.models import backend_process
from cranberrymux.models import endpoint_state


class EndpointRecord(NamedTuple):
    """The announced address, capacity and state of one endpoint.

    Of two records with the same endpoint id, the one with the higher
    `(incarnation, sequence)` supersedes the other.

    Attributes:
        service: Name of the service that the backend server offers.
        endpoint_id: Unique name of the node that runs beside the backend
            server.
        incarnation: Start time of the node process in Unix milliseconds.
        sequence: Number of changes announced in this incarnation.
        address: IP address on which the node accepts calls.
        port: TCP port on which the node accepts calls.
        region: Region of the instance.
        zone: Availability zone of the instance.
        labels: Labels that the backend server announced, by name.
        slots: Number of calls that the backend server claims to run
            concurrently.
        state: Whether the endpoint accepts new calls.
        backend_id: Id that the backend server itself reports; empty if it
            has none.
        backend_started_ms: Start time of the backend server in Unix
            milliseconds; 0 if it is not known. Together with the id it names
            one process.
    """

    service: str
    endpoint_id: str
    incarnation: int
    sequence: int
    address: str
    port: int
    region: str
    zone: str
    labels: Mapping[str, str]
    slots: int
    state: endpoint_state.EndpointState
    backend_id: str = ""
    backend_started_ms: int = 0

    @property
    def process(self) -> backend_process.BackendProcess:
        """The process of the backend server."""
        return backend_process.BackendProcess(
            self.backend_id, self.backend_started_ms
        )
