"""What the directory tells of a fake endpoint."""

from bench.overload import node as node_module
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

REGION = "r"


def make_record(
    node: "node_module.Node", incarnation: int, sequence: int
) -> endpoint_record.EndpointRecord:
    """Makes the record of an endpoint as it is now."""
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
