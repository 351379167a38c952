"""A request at the hop port, as the owner of the slots sees it."""

from typing import Protocol

from cranberrymux.gateway import hop


class OwnedCall(Protocol):
    """A request that holds a slot or waits for one.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        deadline_key: Key of its deadline; 0 before it is sent.
        request_id: Its id.
        route: Name of its route.
        tree_context: What the node where its tree began says of the tree.
        is_resent: True if it was sent to another node before, which counted
            its work.
    """

    ticket_id: int
    deadline_key: int
    request_id: bytes
    route: str
    tree_context: hop.TreeContext
    is_resent: bool
