"""Endpoint records of simulated nodes."""

from bench.overload import node as node_module
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

REGION = "r"


def make_record(
    node: "node_module.Node", incarnation: int, sequence: int
) -> endpoint_record.EndpointRecord:
    """Returns the record of a node's current state.

    Args:
        node: The node.
        incarnation: Number of starts of its backend server.
        sequence: Number of announcements so far.
    """
    state = endpoint_state.EndpointState
    return endpoint_record.EndpointRecord(
        service=node.service.name,
        endpoint_id=node.endpoint_id,
        incarnation=incarnation,
        sequence=sequence,
        address="",
        port=0,
        region=REGION,
        zone=node.zone,
        labels={},
        slots=node.service.slots,
        state=state.GONE if node.is_down else state.SERVING,
    )
