"""Simulated cluster that founds itself, as the control instances do."""

from collections.abc import Callable

from bench import consensus_node
from bench import consensus_simulated_cluster
from bench import consensus_simulated_disk
from cranberrymux.consensus import effects as effects_module
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import founding
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import silent_voter_removal

FOUNDER = "a"
SILENT_VOTER_S = 0.6
SURPLUS_SILENT_S = 0.4
LATEST_START_S = 0.3


class FoundingCluster(consensus_simulated_cluster.SimulatedCluster):
    """Starts instances with empty disks, at random times.

    Attributes:
        silent_s: Time without a message after which a member is removed,
            seconds.
        surplus_silent_s: The same for one of an even number of voters.
        minimum_voters: Number of voters below which no command is proposed,
            and at or below which no silent voter is removed.
        first_start_names: Names of the instances whose next start is their
            first.
        retired_names: Names of the instances that never start again.
        on_command_commit: Called once, shortly after the next commit of a
            command; None for no call.
    """

    silent_s = SILENT_VOTER_S
    surplus_silent_s = SURPLUS_SILENT_S

    def __init__(
        self,
        seed: int,
        voters: int,
        replica_class: type[replica_module.Replica],
        settings: replica_settings.ReplicaSettings,
        disk_class: type[consensus_simulated_disk.SimulatedDisk],
    ) -> None:
        """Schedules the first start of every instance.

        Args:
            seed: Seed of the generator.
            voters: Number of instances, at most 7.
            replica_class: Class of the replicas.
            settings: Settings of the replicas.
            disk_class: Class of the disks.
        """
        self.minimum_voters = voters - 1 if voters % 2 == 0 else voters
        self.first_start_names: set[str] = set()
        self.retired_names: set[str] = set()
        self.on_command_commit: Callable[[], None] | None = None
        super().__init__(seed, voters, replica_class, settings, disk_class)

    def form(self) -> None:
        """Schedules the starts; one instance then founds the cluster."""
        self.checks_disks = False
        for node in self.nodes:
            self.first_start_names.add(node.name)
            delay_s = self.generator.uniform(0, LATEST_START_S)
            self.after(delay_s, self.start, node)

    def start(self, node: consensus_node.Node) -> None:
        """Starts an instance; founds the cluster if this is allowed."""
        if node.name in self.retired_names or node.replica is not None:
            return
        super().start(node)
        assert node.replica is not None
        may_found = founding.may_found_cluster(
            node.replica, node.name, FOUNDER, self.is_first_start(node)
        )
        self.first_start_names.discard(node.name)
        if not may_found:
            return
        result = node.replica.found_cluster(
            node.local_time_s(self.now_s), f"cluster {self.now_s}", node.name
        )
        assert isinstance(result, effects_module.Effects)
        self._apply_effects(node, result)

    def is_first_start(self, node: consensus_node.Node) -> bool:
        """Returns whether this start belongs to the system's first start."""
        return node.name in self.first_start_names

    def add(self, name: str) -> None:
        """Adds an instance with an empty disk and starts it."""
        rate = self.nodes[0].clock_rate
        node = consensus_node.Node(name, rate, self._disk_class)
        self.nodes.append(node)
        self.start(node)

    def voters_of(self, node: consensus_node.Node) -> frozenset[str]:
        """Returns the replica ids of the voters in an instance's membership."""
        assert node.replica is not None
        return node.replica.journal.membership.voters

    def propose(self, node: consensus_node.Node) -> None:
        """Proposes a command at an instance that knows enough voters."""
        if node.replica is None:
            return
        if len(self.voters_of(node)) >= self.minimum_voters:
            super().propose(node)

    def change_members_at(self, leader: consensus_node.Node) -> None:
        """Proposes the next member change, then a silent voter's removal."""
        super().change_members_at(leader)
        if leader.replica is None or leader.paused_until_s > self.now_s:
            return
        removal = silent_voter_removal.next_removal(
            leader.replica,
            leader.local_time_s(self.now_s),
            self.minimum_voters,
            silent_s=self.silent_s,
            surplus_silent_s=self.surplus_silent_s,
        )
        if removal is not None and self.change(leader, removal):
            self.event_counts["silent voters removed"] += 1

    def handle_first_commit(self, entry: entry_module.Entry) -> None:
        """Schedules `on_command_commit` if the entry is a command."""
        if entry.kind is not entry_module.EntryKind.COMMAND:
            return
        callback = self.on_command_commit
        self.on_command_commit = None
        if callback is not None:
            self.after(self.generator.random() * 0.004, callback)
