"""Nodes under leases."""

from cranberrymux.decisions.directory import node_status


class NodeTable:
    """The nodes that send heartbeats, and the version each has in force."""

    def __init__(self, lease_s: float) -> None:
        """Starts empty.

        Args:
            lease_s: How long a heartbeat counts.
        """
        self._lease_s = lease_s
        self._nodes: dict[str, node_status.NodeStatus] = {}
        self._drains: dict[str, int] = {}

    def renew(
        self, node_id: str, incarnation: int, version: int, now_s: float
    ) -> bool:
        """Takes a heartbeat; False if it is of an older incarnation."""
        known = self._nodes.get(node_id)
        if known is not None and incarnation < known.incarnation:
            return False
        self._nodes[node_id] = node_status.NodeStatus(
            node_id, incarnation, version, now_s + self._lease_s
        )
        return True

    def live(self, now_s: float) -> list[node_status.NodeStatus]:
        """Returns the nodes whose lease has not ended, by name."""
        return [
            found
            for _, found in sorted(self._nodes.items())
            if found.expires_s > now_s
        ]

    def is_replaced(self, node_id: str, incarnation: int) -> bool:
        """True if a later incarnation of the node was heard of."""
        known = self._nodes.get(node_id)
        return known is not None and known.incarnation > incarnation

    def is_expired(self, node_id: str, incarnation: int, now_s: float) -> bool:
        """True if this incarnation was heard of and its lease has ended."""
        known = self._nodes.get(node_id)
        if known is None or known.incarnation != incarnation:
            return False
        return known.expires_s <= now_s

    def request_drain(self, node_id: str, now_s: float) -> bool:
        """Asks for the drain of a node's present incarnation.

        Returns:
            False if no node of this name has a lease.
        """
        known = self._nodes.get(node_id)
        if known is None or known.expires_s <= now_s:
            return False
        self._drains[node_id] = known.incarnation
        return True

    def is_drain_requested(self, node_id: str, incarnation: int) -> bool:
        """True if an operator asked for this incarnation's drain."""
        return self._drains.get(node_id) == incarnation

    def forget(self, before_s: float) -> None:
        """Drops the nodes whose lease ended before a time."""
        for node_id, found in list(self._nodes.items()):
            if found.expires_s < before_s:
                del self._nodes[node_id]
                self._drains.pop(node_id, None)
