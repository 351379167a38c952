"""Leases and drain requests of nodes."""

from cranberrymux.decisions.directory import node_status


class NodeTable:
    """Nodes that send heartbeats, their leases and their drain requests."""

    def __init__(self, lease_s: float) -> None:
        """Creates an empty table.

        Args:
            lease_s: Duration of the lease that a heartbeat renews.
        """
        self._lease_s = lease_s
        self._nodes: dict[str, node_status.NodeStatus] = {}
        self._drains: dict[str, int] = {}

    def renew(
        self, node_id: str, incarnation: int, version: int, now_s: float
    ) -> bool:
        """Renews a node's lease on a heartbeat.

        Args:
            node_id: Unique name of the node.
            incarnation: Start time of its process in Unix milliseconds.
            version: Configuration version that it has in force.
            now_s: Monotonic time.

        Returns:
            False if a later incarnation of the node is known; the heartbeat
            is then ignored.
        """
        known = self._nodes.get(node_id)
        if known is not None and incarnation < known.incarnation:
            return False
        self._nodes[node_id] = node_status.NodeStatus(
            node_id, incarnation, version, now_s + self._lease_s
        )
        return True

    def live(self, now_s: float) -> list[node_status.NodeStatus]:
        """Returns the nodes whose lease has not ended, sorted by name."""
        return [
            status
            for _, status in sorted(self._nodes.items())
            if status.expires_s > now_s
        ]

    def is_replaced(self, node_id: str, incarnation: int) -> bool:
        """True if a later incarnation of the node has sent a heartbeat."""
        known = self._nodes.get(node_id)
        return known is not None and known.incarnation > incarnation

    def is_expired(self, node_id: str, incarnation: int, now_s: float) -> bool:
        """True if this incarnation is the last known and its lease ended."""
        known = self._nodes.get(node_id)
        if known is None or known.incarnation != incarnation:
            return False
        return known.expires_s <= now_s

    def request_drain(self, node_id: str, now_s: float) -> bool:
        """Requests the drain of a node's current incarnation.

        Returns:
            False if no node of this name holds a lease.
        """
        known = self._nodes.get(node_id)
        if known is None or known.expires_s <= now_s:
            return False
        self._drains[node_id] = known.incarnation
        return True

    def is_drain_requested(self, node_id: str, incarnation: int) -> bool:
        """True if the drain of this incarnation was requested."""
        return self._drains.get(node_id) == incarnation

    def remove_expired(self, before_s: float) -> list[str]:
        """Removes the nodes whose lease ended before a monotonic time.

        Returns:
            Their ids.
        """
        removed = [
            node_id
            for node_id, status in self._nodes.items()
            if status.expires_s < before_s
        ]
        for node_id in removed:
            del self._nodes[node_id]
            self._drains.pop(node_id, None)
        return removed
