"""JSON body of a node's status."""

from typing import TypedDict


class StatusBody(TypedDict):
    """What `GET /v1/status` of a node answers.

    Attributes:
        node_id: Name of the node.
        service: Service of its backend server; empty if there is none.
        state: `starting`, `serving`, `draining` or `gone`.
        in_flight: Calls that the backend server runs.
        queued: Calls that wait for a slot.
        limit: Calls that may run at once.
        level: Calls with a priority above this would be refused now.
        configuration_version: Version in force.
        suspects: Fingerprints of requests that may crash backend servers.
    """

    node_id: str
    service: str
    state: str
    in_flight: int
    queued: int
    limit: int
    level: int
    configuration_version: int
    suspects: int
