"""Random schedules for clusters that form from seeds and lose disks.

A replica that returns with an empty disk may found a second cluster or vote
again under its old identity. The guarantees must hold under such faults, and
schedules must find a violation once a mechanism against them is removed.
"""

import pytest

from bench import consensus_checker
from bench import consensus_faults
from bench import consensus_founding_cluster
from bench import consensus_founding_schedule
from bench import consensus_simulated_cluster
from bench import consensus_simulated_disk
from bench import consensus_stored_disk
from cranberrymux.consensus import replica

FIRST_SEED = 2_000_000
SEEDS = 40
DISKS = {
    "simulated": consensus_simulated_disk.SimulatedDisk,
    "real storage": consensus_stored_disk.StoredDisk,
}
DISK_LOSS_FAULTS = consensus_faults.FOUNDING._replace(
    lose_disk_when_all_vote=8, cut_power_on_commit=12
)


@pytest.mark.parametrize("disk", DISKS)
def test_disk_loss_schedules_keep_guarantees(disk):
    results = [
        consensus_founding_schedule.FoundingSchedule(
            seed, disk_class=DISKS[disk]
        ).run()
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS)
    ]
    assert [result for result in results if result.violation] == []
    assert all(result.was_progress_checked for result in results)
    for event in (
        "crashes during a sync",
        "disks lost",
        "instances replaced",
        "silent voters removed",
    ):
        assert sum(result.event_counts[event] for result in results) > 0, event


class KeepsIdentity(consensus_founding_schedule.FoundingSchedule):
    """An instance with an empty disk keeps its previous identity."""

    def lose_disk(self, node):
        node.disk = consensus_simulated_disk.SimulatedDisk(node.disk.replica_id)


class FoundsAgain(consensus_founding_schedule.FoundingSchedule):
    """The founder founds a cluster whenever its disk is empty."""

    def make_cluster(self, *arguments):
        class World(consensus_founding_cluster.FoundingCluster):
            def is_first_start(self, node):
                return True

        return World(*arguments)


class HasNoVoterMinimum(consensus_founding_schedule.FoundingSchedule):
    """Voters are removed and commands accepted without a minimum of voters."""

    def make_cluster(self, *arguments):
        world = super().make_cluster(*arguments)
        world.minimum_voters = 1
        return world

    def _may_lose_disk(self):
        return bool(self.cluster.leaders())


@pytest.mark.parametrize(
    "schedule_class", [KeepsIdentity, FoundsAgain, HasNoVoterMinimum]
)
def test_schedules_find_violation_without_mechanism(schedule_class):
    runs = (
        schedule_class(seed, faults=DISK_LOSS_FAULTS).run()
        for seed in range(SEEDS)
    )
    violation = next((run.violation for run in runs if run.violation), "")
    print(violation)
    assert violation


def test_schedules_find_no_violation_with_every_mechanism():
    for seed in range(SEEDS):
        schedule = consensus_founding_schedule.FoundingSchedule(
            seed, faults=DISK_LOSS_FAULTS
        )
        assert schedule.run().violation == ""


def test_founding_cut_by_power_loss_is_completed_after_restart():
    """Covers power cuts at different steps of the founding write.

    The restart still belongs to the first start of the system.
    """
    for seed in range(20):
        world = consensus_founding_cluster.FoundingCluster(
            seed,
            3,
            replica.Replica,
            consensus_simulated_cluster.SETTINGS,
            consensus_simulated_disk.SimulatedDisk,
        )
        world.loss_rate = world.duplicate_rate = world.slow_rate = 0.0
        founder = world.nodes[0]
        world.hung_disks.add(founder.name)
        world.run_for(0.4)
        assert founder.batch
        world.crash(founder)
        if not founder.disk.entries:
            # No replica has seen the entry, so another one may be founded.
            world.checker = consensus_checker.Checker()
        world.hung_disks.clear()
        world.first_start_names.add(founder.name)
        world.start(founder)
        world.run_for(3.0)
        assert len(world.leaders()) == 1
        assert len(world.voters_of(world.leaders()[0])) == 3
