"""Base of simulated clusters: the instances and the checks on them."""

import collections
import random

from bench import consensus_checker
from bench import consensus_event_queue
from bench import consensus_node
from cranberrymux.consensus import role as role_module


class CheckedCluster(consensus_event_queue.EventQueue):
    """Holds instances and checks the guarantees after every event.

    Attributes:
        generator: Source of all random choices of the cluster.
        checker: Checks the guarantees.
        event_counts: Number of events by name.
        nodes: The instances, running or not.
    """

    def __init__(self, seed: int) -> None:
        """Starts without instances.

        Args:
            seed: Seed of the generator.
        """
        super().__init__()
        self.generator = random.Random(seed)
        self.checker = consensus_checker.Checker()
        self.event_counts: collections.Counter[str] = collections.Counter()
        self.nodes: list[consensus_node.Node] = []

    def check(self) -> None:
        """Checks the guarantees after an event."""
        self.checker.check(self.nodes, self.now_s)

    def leaders(self) -> list[consensus_node.Node]:
        """Returns the running instances in the leader role, of any term."""
        return [
            node
            for node in self.nodes
            if node.replica is not None
            and node.replica.role is role_module.Role.LEADER
        ]

    def crash(self, node: consensus_node.Node) -> None:
        """Cuts the power of an instance; unsynced writes may be lost."""
        if node.replica is None:
            return
        self.event_counts["crashes"] += 1
        self.event_counts["crashes during a sync"] += bool(node.batch)
        node.replica = None
        node.run_number += 1
        node.disk.tear(node.batch, self.generator)
        node.batch = []
        node.queue = []
