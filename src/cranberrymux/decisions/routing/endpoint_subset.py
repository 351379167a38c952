"""Which endpoints of a service a node sends requests to.

Bounds the connections of a node and of an endpoint where services have many
endpoints. Rendezvous hashing: each pair of a node and an endpoint has a fixed
weight, and a node uses the endpoints of the highest weights, most of them in
its own availability zone. So nodes that know the same endpoints agree on the
subset of each, whatever the order in which they learned of them, and an
endpoint that comes or goes changes one member of a subset at most.
"""

from collections.abc import Iterable
import hashlib
import heapq
from typing import NamedTuple

# Endpoints of the own availability zone, and of all others together.
OWN_ZONE_SIZE = 16
OTHER_ZONES_SIZE = 8
_WEIGHT_BYTES = 8


class Candidate(NamedTuple):
    """An endpoint that takes requests.

    Attributes:
        endpoint_id: Its id.
        zone: Its availability zone.
    """

    endpoint_id: str
    zone: str


def choose_subset(
    node_id: str, zone: str, candidates: Iterable[Candidate]
) -> frozenset[str]:
    """Returns the ids of the endpoints that a node sends requests to.

    Args:
        node_id: Id of the node.
        zone: Availability zone of the node.
        candidates: The endpoints of one service, in any order.

    Returns:
        All ids if they are no more than the sizes of a subset together.
    """
    own: list[tuple[bytes, str]] = []
    others: list[tuple[bytes, str]] = []
    for candidate in candidates:
        same = own if candidate.zone == zone else others
        same.append((_weigh(node_id, candidate), candidate.endpoint_id))
    other_size = OTHER_ZONES_SIZE + max(OWN_ZONE_SIZE - len(own), 0)
    own_size = OWN_ZONE_SIZE + max(OTHER_ZONES_SIZE - len(others), 0)
    chosen = heapq.nlargest(own_size, own)
    chosen += heapq.nlargest(other_size, others)
    return frozenset(endpoint_id for _, endpoint_id in chosen)


def _weigh(node_id: str, candidate: Candidate) -> bytes:
    pair = f"{node_id}\n{candidate.endpoint_id}".encode()
    return hashlib.blake2b(pair, digest_size=_WEIGHT_BYTES).digest()
