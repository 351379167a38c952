"""The instances of a simulated cluster and what is seen of them."""

import collections
import random

from bench import consensus_checker
from bench import consensus_events
from bench import consensus_node
from cranberrymux.consensus import role as role_module


class Cluster(consensus_events.Events):
    """Instances, checked after every event.

    Attributes:
        generator: Draws whatever is random.
        checker: Checks the guarantees.
        seen: Counts of what happened.
        nodes: The instances.
    """

    def __init__(self, seed: int) -> None:
        """Starts without instances."""
        super().__init__()
        self.generator = random.Random(seed)
        self.checker = consensus_checker.Checker()
        self.seen: collections.Counter[str] = collections.Counter()
        self.nodes: list[consensus_node.Node] = []

    def check(self) -> None:
        """Checks the guarantees after an event."""
        self.checker.check(self.nodes, self.now_s)

    def leaders(self) -> list[consensus_node.Node]:
        """Instances that take themselves for the leader."""
        return [
            node
            for node in self.nodes
            if node.replica is not None
            and node.replica.role is role_module.Role.LEADER
        ]

    def crash(self, node: consensus_node.Node) -> None:
        """Cuts an instance's power; unsynced writes may be lost or torn."""
        if node.replica is None:
            return
        self.seen["crashes"] += 1
        self.seen["crashes during a sync"] += bool(node.batch)
        node.replica = None
        node.run += 1
        node.disk.tear(node.batch, self.generator)
        node.batch = []
        node.queue = []
