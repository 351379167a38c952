"""What a control instance knows of a node."""

from typing import NamedTuple


class NodeStatus(NamedTuple):
    """A node by its last heartbeat.

    Attributes:
        node_id: Name of the node.
        incarnation: Start time of its process in Unix milliseconds.
        configuration_version: The version it has in force.
        expires_s: When its lease ends.
    """

    node_id: str
    incarnation: int
    configuration_version: int
    expires_s: float
