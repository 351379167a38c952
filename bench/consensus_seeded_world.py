"""A simulated cluster that is formed from seeds, as control instances do."""

from collections.abc import Callable

from bench import consensus_disk
from bench import consensus_node
from bench import consensus_world
from cranberrymux.consensus import effects as effects_module
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import founding
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import silent_voter_removal

FOUNDER = "a"
SILENT_VOTER_S = 0.6
LATEST_START_S = 0.3


class SeededWorld(consensus_world.World):
    """Instances that start with empty disks, in any order.

    Attributes:
        minimum_voters: Voters below which no command is proposed and no
            silent voter is let go.
        first_start: Names of the instances that still are at their first
            start.
        gone: Names of the instances that never come back.
        on_accept: Called at the next accepted command; then forgotten.
    """

    def __init__(
        self,
        seed: int,
        voters: int,
        replica_class: type[replica_module.Replica],
        settings: replica_settings.ReplicaSettings,
        disk_class: type[consensus_disk.SimulatedDisk],
    ) -> None:
        """Plans the starts."""
        self.minimum_voters = voters - 1 if voters % 2 == 0 else voters
        self.first_start: set[str] = set()
        self.gone: set[str] = set()
        self.on_accept: Callable[[], None] | None = None
        super().__init__(seed, voters, replica_class, settings, disk_class)

    def form(self) -> None:
        """Starts all with empty disks; one of them founds."""
        self.checks_disks = False
        for node in self.nodes:
            self.first_start.add(node.name)
            delay_s = self.generator.uniform(0, LATEST_START_S)
            self.after(delay_s, self.start, node)

    def start(self, node: consensus_node.Node) -> None:
        """Starts an instance; the founder founds if all are new."""
        if node.name in self.gone or node.replica is not None:
            return
        super().start(node)
        assert node.replica is not None
        may_found = founding.may_found_cluster(
            node.replica, node.name, FOUNDER, self.is_first_start(node)
        )
        self.first_start.discard(node.name)
        if not may_found:
            return
        result = node.replica.found_cluster(
            node.local_s(self.now_s), f"cluster {self.now_s}", node.name
        )
        assert isinstance(result, effects_module.Effects)
        self._act(node, result)

    def is_first_start(self, node: consensus_node.Node) -> bool:
        """True if this is the first start of the whole system."""
        return node.name in self.first_start

    def add(self, name: str) -> None:
        """Starts one more instance, with an empty disk."""
        rate = self.nodes[0].clock_rate
        node = consensus_node.Node(name, rate, self._disk_class)
        self.nodes.append(node)
        self.start(node)

    def voters_of(self, node: consensus_node.Node) -> frozenset[str]:
        """Voters that an instance knows of."""
        assert node.replica is not None
        return node.replica.journal.members.voters

    def propose(self, node: consensus_node.Node) -> None:
        """Proposes a command if enough disks would hold it."""
        if node.replica is None:
            return
        if len(self.voters_of(node)) >= self.minimum_voters:
            super().propose(node)

    def join_at(self, leader: consensus_node.Node) -> None:
        """Adds who has come, and lets go who is silent."""
        super().join_at(leader)
        if leader.replica is None or leader.paused_until_s > self.now_s:
            return
        removal = silent_voter_removal.next_removal(
            leader.replica,
            leader.local_s(self.now_s),
            self.minimum_voters,
            SILENT_VOTER_S,
        )
        if removal is not None and self.change(leader, removal):
            self.seen["silent voters removed"] += 1

    def accepted_one(self, one: entry_module.Entry) -> None:
        """Strikes what was planned for an accepted command."""
        if one.kind is not entry_module.EntryKind.COMMAND:
            return
        strike = self.on_accept
        self.on_accept = None
        if strike is not None:
            self.after(self.generator.random() * 0.004, strike)
