"""Random schedules of faults against a simulated cluster."""

import random

from bench import consensus_checker
from bench import consensus_faults
from bench import consensus_node
from bench import consensus_result
from bench import consensus_simulated_cluster
from bench import consensus_simulated_disk
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import member_change
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import replica_settings

FAULT_PHASE_S = 4.0
RECOVERY_PHASE_S = 2.5


class Schedule:
    """Runs random faults and proposals, then checks the recovery.

    `_do_NAME` applies the fault of field NAME of `consensus_faults.Faults`.

    Attributes:
        cluster_class: Class of the simulated cluster.
        cluster: The simulated cluster.
    """

    cluster_class: type[consensus_simulated_cluster.SimulatedCluster] = (
        consensus_simulated_cluster.SimulatedCluster
    )

    def __init__(
        self,
        seed: int,
        *,
        replica_class: type[replica_module.Replica] = replica_module.Replica,
        faults: consensus_faults.Faults | None = None,
        voters: int | None = None,
        settings: replica_settings.ReplicaSettings = (
            consensus_simulated_cluster.SETTINGS
        ),
        disk_class: type[
            consensus_simulated_disk.SimulatedDisk
        ] = consensus_simulated_disk.SimulatedDisk,
    ) -> None:
        """Creates the cluster and draws the conditions of network and disks.

        Args:
            seed: Seed of the schedule and of the cluster.
            replica_class: Class of the replicas.
            faults: Weights of the faults; None for the defaults.
            voters: Number of voters; None to draw 3 or 5.
            settings: Settings of the replicas.
            disk_class: Class of the disks.
        """
        self._seed = seed
        self._generator = random.Random(f"faults {seed}")
        self._faults = faults or consensus_faults.Faults()
        count = voters or self._generator.choice((3, 3, 3, 5))
        self.cluster = self.make_cluster(
            seed, count, replica_class, settings, disk_class
        )
        self.cluster.loss_rate = self._generator.choice((0.0, 0.02, 0.1))
        self.cluster.duplicate_rate = self._generator.choice((0.0, 0.05, 0.2))
        self.cluster.slow_rate = self._generator.choice((0.0, 0.05, 0.2))
        self.cluster.max_sync_s = self._generator.choice((0.0, 0.004, 0.05))
        self._lost_disks = 0
        self._removals = 0

    def make_cluster(
        self,
        seed: int,
        voters: int,
        replica_class: type[replica_module.Replica],
        settings: replica_settings.ReplicaSettings,
        disk_class: type[consensus_simulated_disk.SimulatedDisk],
    ) -> consensus_simulated_cluster.SimulatedCluster:
        """Returns the simulated cluster of this schedule."""
        return self.cluster_class(
            seed, voters, replica_class, settings, disk_class
        )

    def run(self) -> consensus_result.Result:
        """Runs the faults, ends them, and checks that the cluster recovers.

        Progress is not required if disk losses may have destroyed a quorum.
        """
        violation = ""
        may_stall = True
        try:
            self._run_faults()
            may_stall = self._lost_disks > 1 or (
                self._lost_disks > 0 and self._removals > 0
            )
            self._run_recovery(may_stall)
        except consensus_checker.ViolationError as error:
            violation = str(error)
        except invariant_error.InvariantError as error:
            violation = f"invariant: {error}"
        return consensus_result.Result(
            self._seed,
            self.cluster.checker.states,
            self.cluster.committed_count,
            self.cluster.event_counts,
            not may_stall,
            violation,
        )

    def _run_faults(self) -> None:
        self._schedule_proposals()
        self._schedule_fault()
        self.cluster.run_for(FAULT_PHASE_S)

    def _run_recovery(self, may_stall: bool) -> None:
        cluster = self.cluster
        self._faults = consensus_faults.Faults(
            *([0] * len(consensus_faults.Faults._fields))
        )
        cluster.cut_links.clear()
        cluster.loss_rate = cluster.duplicate_rate = cluster.slow_rate = 0.0
        cluster.max_sync_s = 0.002
        for node in cluster.nodes:
            node.should_be_member = True
            node.paused_until_s = 0.0
            cluster.start(node)
        cluster.run_for(RECOVERY_PHASE_S)
        if may_stall:
            return
        committed_before = cluster.committed_count
        for leader in cluster.leaders():
            cluster.propose(leader)
        cluster.run_for(0.5)
        if cluster.committed_count == committed_before:
            raise consensus_checker.ViolationError(
                "no entry committed after the faults ended"
            )
        digests = {
            node.applied_index: node.digest for node in self.present_nodes()
        }
        if len(digests) > 1 or cluster.committed_count not in digests:
            raise consensus_checker.ViolationError(
                f"replicas differ by applied index and digest: {digests}"
            )

    def present_nodes(self) -> list[consensus_node.Node]:
        """Returns the instances that are part of the system, up or down."""
        return self.cluster.nodes

    def _schedule_proposals(self) -> None:
        self.cluster.after(
            self._generator.expovariate(25), self._propose_and_reschedule
        )

    def _propose_and_reschedule(self) -> None:
        if not any(self._faults):
            return
        for leader in self.cluster.leaders():
            for _ in range(self._generator.choice((1, 1, 4))):
                self.cluster.propose(leader)
        self._schedule_proposals()

    def _schedule_fault(self) -> None:
        self.cluster.after(
            self._generator.expovariate(6), self._apply_fault_and_reschedule
        )

    def _apply_fault_and_reschedule(self) -> None:
        if not any(self._faults):
            return
        names = self._faults._fields
        name = self._generator.choices(names, self._faults)[0]
        getattr(self, f"_do_{name}")()
        self._schedule_fault()

    def _draw_node(self) -> consensus_node.Node:
        return self._generator.choice(self.cluster.nodes)

    def _draw_leader(self) -> consensus_node.Node:
        return self._generator.choice(
            self.cluster.leaders() or self.cluster.nodes
        )

    def _restart_later(self, node: consensus_node.Node) -> None:
        delay_s = self._generator.choice((0.04, 0.1, 0.5))
        self.cluster.after(delay_s, self.cluster.start, node)

    def _do_crash(self) -> None:
        node = self._draw_node()
        self.cluster.crash(node)
        self._restart_later(node)

    def _do_crash_leader(self) -> None:
        node = self._draw_leader()
        self.cluster.crash(node)
        self._restart_later(node)

    def _do_crash_all(self) -> None:
        for node in self.cluster.nodes:
            self.cluster.crash(node)
            self._restart_later(node)

    def _do_lose_disk(self) -> None:
        node = self._draw_node()
        self.cluster.crash(node)
        self.lose_disk(node)
        self._lost_disks += 1
        self.cluster.checks_disks = False
        self._restart_later(node)

    def lose_disk(self, node: consensus_node.Node) -> None:
        """Replaces the disk of an instance by an empty one."""
        node.lose_disk()

    def _do_cut(self) -> None:
        links = {
            (node.name, other.name)
            for node in self.cluster.nodes
            for other in self.cluster.nodes
            if self._generator.random() < 0.3
        }
        self._cut_for_a_while(links)

    def _do_isolate(self) -> None:
        name = self._draw_leader().name
        direction = self._generator.choice(("in", "out", "both"))
        links = set()
        for other in self.cluster.nodes:
            if direction != "out":
                links.add((other.name, name))
            if direction != "in":
                links.add((name, other.name))
        self._cut_for_a_while(links)

    def _do_cut_leader_link(self) -> None:
        leader = self._draw_leader()
        other = self._draw_node()
        links = {(leader.name, other.name)}
        if self._generator.random() < 0.5:
            links.add((other.name, leader.name))
        self._cut_for_a_while(links)

    def _do_cut_and_crash_leader(self) -> None:
        leader = self._draw_leader()
        reachable = self._draw_node()
        links = {
            (leader.name, other.name)
            for other in self.cluster.nodes
            if other is not reachable
        }
        self.cluster.cut_links |= links
        for _ in range(3):
            self.cluster.propose(leader)
        self.cluster.after(0.03, self.cluster.crash, leader)
        self.cluster.after(0.04, self._heal_links, links)
        self._restart_later(leader)

    def _cut_for_a_while(self, links: set[tuple[str, str]]) -> None:
        self.cluster.cut_links |= links
        delay_s = self._generator.uniform(0.1, 1.2)
        self.cluster.after(delay_s, self._heal_links, links)

    def _heal_links(self, links: set[tuple[str, str]]) -> None:
        self.cluster.cut_links -= links

    def _do_heal_links(self) -> None:
        self.cluster.cut_links.clear()

    def _do_pause(self) -> None:
        node = self._draw_leader()
        node.paused_until_s = self.cluster.now_s + self._generator.uniform(
            0.05, 1.0
        )

    def _do_remove(self) -> None:
        node = self._draw_node()
        leader = self._draw_leader()
        node.should_be_member = False
        self.cluster.checks_disks = False
        self._removals += 1
        change = member_change.MemberChange(
            member_change.ChangeKind.REMOVE, node.disk.replica_id
        )
        self.cluster.change(leader, change)
        self.cluster.after(
            self._generator.uniform(0.2, 1.0), self._restore_member, node
        )

    def _restore_member(self, node: consensus_node.Node) -> None:
        node.should_be_member = True
