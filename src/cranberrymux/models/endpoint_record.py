"""One announced endpoint of a service."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.models import endpoint_state


class EndpointRecord(NamedTuple):
    """What the directory knows of one endpoint.

    Of two records with one endpoint id, the one with the higher
    `(incarnation, sequence)` is the newer news.

    Attributes:
        service: Name of the service that the backend server offers.
        endpoint_id: Name of the node beside the backend server, unique.
        incarnation: Start time of the node process in Unix milliseconds.
        sequence: Count of changes announced in this incarnation.
        address: IP number on which the node takes calls.
        port: TCP port on which the node takes calls.
        region: Region of the instance.
        zone: Availability zone of the instance.
        labels: Labels of the backend server.
        slots: Calls the backend server says it can run at once.
        state: What new work the endpoint takes.
        backend_id: Id by which the backend server itself answers; empty if it
            has none.
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
