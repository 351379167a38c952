"""To which of its siblings a node sends the news that all of them need.

Each node passes news that is new to it on to its neighbors, so that it reaches
all, and what a node sends for one piece of news does not grow with their
number. Ids are put on a ring by their hash; the neighbors stand at three
distances in both directions. So each node has as many that send to it as it
sends to, and news takes about `3 * count ** (1/3) / 2` hops.
"""

from collections.abc import Iterable
import hashlib

# Up to this number of siblings, all of them are neighbors.
MAXIMUM_ALL = 12
_POSITION_BYTES = 8


def choose_neighbors(own_id: str, sibling_ids: Iterable[str]) -> frozenset[str]:
    """Returns the ids of the siblings that a node sends news to.

    Args:
        own_id: Id of the node.
        sibling_ids: Ids of all its siblings, in any order.
    """
    siblings = frozenset(sibling_ids) - {own_id}
    if len(siblings) <= MAXIMUM_ALL:
        return siblings
    ring = sorted(siblings | {own_id}, key=_get_position)
    count = len(ring)
    own_index = ring.index(own_id)
    root = round(count ** (1 / 3))
    return frozenset(
        ring[(own_index + distance) % count]
        for step in (1, root, root * root)
        for distance in (step, -step)
    )


def _get_position(node_id: str) -> bytes:
    encoded = node_id.encode()
    return hashlib.blake2b(encoded, digest_size=_POSITION_BYTES).digest()
