"""The state of a node as a control instance knows it."""

from typing import NamedTuple


class NodeStatus(NamedTuple):
    """The content of a node's last heartbeat and its lease.

    Attributes:
        node_id: Unique name of the node.
        incarnation: Start time of its process in Unix milliseconds.
        configuration_version: Configuration version that it has in force.
        expires_s: Monotonic time at which its lease ends.
    """

    node_id: str
    incarnation: int
    configuration_version: int
    expires_s: float
