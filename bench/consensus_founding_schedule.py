"""Random schedules of a cluster that founds itself and loses disks."""

from bench import consensus_checker
from bench import consensus_faults
from bench import consensus_founding_cluster
from bench import consensus_node
from bench import consensus_schedule
from bench import consensus_simulated_disk
from cranberrymux.consensus import replica as replica_module

FORMED_BY_S = 20.0
FORMING_DISK_S = 0.004
STEP_S = 0.1
NEW_NAMES = "hijklmnopqrstuvwxyz"


class FoundingSchedule(consensus_schedule.Schedule):
    """Loses a disk only while every present instance is a voter.

    The cluster must therefore make progress after every schedule.
    """

    cluster: consensus_founding_cluster.FoundingCluster
    cluster_class = consensus_founding_cluster.FoundingCluster

    def __init__(
        self,
        seed: int,
        *,
        replica_class: type[replica_module.Replica] = replica_module.Replica,
        faults: consensus_faults.Faults = consensus_faults.FOUNDING,
        disk_class: type[
            consensus_simulated_disk.SimulatedDisk
        ] = consensus_simulated_disk.SimulatedDisk,
    ) -> None:
        """Creates a cluster of 3 to 5 instances with empty disks.

        Args:
            seed: Seed of the schedule; also selects the number of instances.
            replica_class: Class of the replicas.
            faults: Weights of the faults.
            disk_class: Class of the disks.
        """
        super().__init__(
            seed,
            replica_class=replica_class,
            faults=faults,
            voters=(3, 4, 4, 5)[seed % 4],
            disk_class=disk_class,
        )
        self._new_names = iter(NEW_NAMES)

    def _run_faults(self) -> None:
        # Two voters cannot elect a leader while a sync takes up to ten leases.
        drawn_disk_s = self.cluster.max_sync_s
        self.cluster.max_sync_s = min(drawn_disk_s, FORMING_DISK_S)
        self._wait_until_all_vote()
        self.cluster.max_sync_s = drawn_disk_s
        super()._run_faults()

    def _wait_until_all_vote(self) -> None:
        while not self._may_lose_disk():
            self.cluster.run_for(STEP_S)
            if self.cluster.now_s > FORMED_BY_S:
                raise consensus_checker.ViolationError(
                    "not every instance became a voter in time"
                )

    def present_nodes(self) -> list[consensus_node.Node]:
        """Returns the instances that are not retired, up or down."""
        return [
            node
            for node in self.cluster.nodes
            if node.name not in self.cluster.retired_names
        ]

    def _run_recovery(self, may_stall: bool) -> None:
        self.cluster.on_command_commit = None
        super()._run_recovery(may_stall)

    def _may_lose_disk(self) -> bool:
        """Returns whether the voters are exactly the present instances."""
        replica_ids = {node.disk.replica_id for node in self.present_nodes()}
        for leader in self.cluster.leaders():
            assert leader.replica is not None
            now_s = leader.local_time_s(self.cluster.now_s)
            voters = self.cluster.voters_of(leader)
            has_lease = leader.replica.has_valid_lease(now_s)
            if has_lease and voters == replica_ids:
                return len(voters) >= self.cluster.minimum_voters
        return False

    def _do_lose_disk_when_all_vote(self) -> None:
        if not self._may_lose_disk():
            return
        node = self._generator.choice(self.present_nodes())
        self.cluster.crash(node)
        self.lose_disk(node)
        self.cluster.event_counts["disks lost"] += 1
        self._restart_later(node)

    def _do_replace(self) -> None:
        name = next(self._new_names, "")
        if not name or not self._may_lose_disk():
            return
        node = self._generator.choice(self.present_nodes())
        self.cluster.crash(node)
        self.cluster.retired_names.add(node.name)
        self.cluster.event_counts["instances replaced"] += 1
        self.cluster.after(
            self._generator.uniform(0.05, 0.5), self.cluster.add, name
        )

    def _do_cut_power_on_commit(self) -> None:
        loses_disk = self._generator.random() < 0.5
        self.cluster.on_command_commit = lambda: self._cut_power(loses_disk)

    def _cut_power(self, loses_disk: bool) -> None:
        if loses_disk and self._may_lose_disk():
            self._do_lose_disk_when_all_vote()
        self._do_crash_all()
