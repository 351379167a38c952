"""JSON body of a node's status."""

from typing import TypedDict


class StatusBody(TypedDict):
    """JSON object that `GET /v1/status` of a node returns.

    Attributes:
        node_id: Name of the node.
        service: Service of the backend server; empty if there is none.
        state: `starting`, `serving`, `draining` or `gone`.
        in_flight: Number of calls that the backend server runs.
        queued: Number of calls that wait for a slot.
        limit: Number of calls that may run at once.
        level: Highest priority number that is admitted now; calls with a
            higher one are refused.
        configuration_version: Version of the configuration in force; 0 if
            there is none yet.
        suspects: Number of fingerprints of requests that may crash backend
            servers.
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
