"""Simulated control instances that leave the members before they end."""

from bench import consensus_founding_cluster
from bench import consensus_node
from cranberrymux.consensus import departure

# Times in the same relation to the lease as those of the platform.
LEAVE_LIMIT_S = 0.8
SILENT_VOTER_S = 1.2
_LEAVE_POLL_S = 0.06


class ReplacementCluster(consensus_founding_cluster.FoundingCluster):
    """A founding cluster whose instances may end on purpose."""

    silent_s = SILENT_VOTER_S

    def leave(self, node: consensus_node.Node) -> None:
        """Ends an instance for good once it has left, or after a time limit."""
        self._leave_until(node, node.run_number, self.now_s + LEAVE_LIMIT_S)

    def has_ended(self, node: consensus_node.Node) -> bool:
        """Returns whether an instance has ended for good."""
        return node.name in self.retired_names

    def end(self, node: consensus_node.Node) -> None:
        """Ends an instance for good."""
        self.crash(node)
        self.retired_names.add(node.name)

    def _leave_until(
        self, node: consensus_node.Node, run: int, limit_at_s: float
    ) -> None:
        if node.run_number != run or node.replica is None:
            self.end(node)
            return
        if self.now_s >= limit_at_s or self._may_end(node):
            self.end(node)
            return
        self._ask_to_leave(node)
        self.after(_LEAVE_POLL_S, self._leave_until, node, run, limit_at_s)

    def _may_end(self, node: consensus_node.Node) -> bool:
        assert node.replica is not None
        replica_id = node.disk.replica_id
        if departure.must_stay(node.replica, replica_id, self.minimum_voters):
            return True
        return any(
            other.replica is not None
            and departure.has_left(other.replica, replica_id)
            for other in (node, *self.leaders())
        )

    def _ask_to_leave(self, node: consensus_node.Node) -> None:
        if self.generator.random() < self.loss_rate:
            return
        delay_s = self.generator.random() * 0.02
        if self.generator.random() < self.slow_rate:
            delay_s *= 25
        self.after(delay_s, self._remove, node.disk.replica_id)

    def _remove(self, replica_id: str) -> None:
        for leader in self.leaders():
            assert leader.replica is not None
            removal = departure.next_removal(
                leader.replica, replica_id, self.minimum_voters
            )
            if removal is not None and self.change(leader, removal):
                self.event_counts["voters that left"] += 1
