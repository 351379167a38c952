"""Passes changes in the directory on to the parts of a node."""

from collections.abc import Sequence

from cranberrymux.models import endpoint_record
from cranberrymux.node import environment
from cranberrymux.node import siblings as siblings_module
from cranberrymux.node import suspect_sharing


def apply(
    node: environment.Environment,
    siblings: siblings_module.Siblings,
    own_service: str | None,
    records: Sequence[endpoint_record.EndpointRecord],
) -> None:
    """Passes changed endpoints to the router and to the siblings.

    Args:
        node: Tasks and tables of the node.
        siblings: The other endpoints of the own service.
        own_service: Service of the node's backend server; None without one.
        records: The changed records.
    """
    now_s = node.clock.now_s()
    by_service: dict[str, list[endpoint_record.EndpointRecord]] = {}
    for record in records:
        by_service.setdefault(record.service, []).append(record)
    for service, changed in by_service.items():
        node.router.update_endpoints(now_s, service, changed)
        if service == own_service:
            suspect_sharing.update_siblings(siblings, node.quarantine, changed)
