"""Clusters from seeds whose disks are wiped, and mechanisms taken out."""

import pytest

from bench import consensus_checker
from bench import consensus_disk
from bench import consensus_faults
from bench import consensus_seeded_schedule
from bench import consensus_seeded_world
from bench import consensus_storage
from bench import consensus_world
from cranberrymux.consensus import replica

FIRST_SEED = 2_000_000
SEEDS = 40
DISKS = {
    "simulated": consensus_disk.SimulatedDisk,
    "real storage": consensus_storage.StoredDisk,
}
WIPES = consensus_faults.SEEDED._replace(wipe=8, power_on_accept=12)


@pytest.mark.parametrize("disk", DISKS)
def test_guarantees_hold(disk):
    results = [
        consensus_seeded_schedule.SeededSchedule(
            seed, disk_class=DISKS[disk]
        ).run()
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS)
    ]
    assert [x for x in results if x.violation] == []
    assert all(x.was_calmed for x in results)
    for what in (
        "crashes during a sync",
        "disks lost",
        "instances replaced",
        "silent voters removed",
    ):
        assert sum(x.seen[what] for x in results) > 0, what


class KeepsIdentity(consensus_seeded_schedule.SeededSchedule):
    """An empty disk comes back as who it was."""

    def lose_disk(self, node):
        node.disk = consensus_disk.SimulatedDisk(node.disk.replica_id)


class FoundsAgain(consensus_seeded_schedule.SeededSchedule):
    """The founder founds whenever its disk is empty."""

    def make_world(self, *arguments):
        class World(consensus_seeded_world.SeededWorld):
            def is_first_start(self, node):
                return True

        return World(*arguments)


class KeepsNoMinimum(consensus_seeded_schedule.SeededSchedule):
    """Any number of voters will do."""

    def make_world(self, *arguments):
        world = super().make_world(*arguments)
        world.minimum_voters = 1
        return world

    def _may_lose_disk(self):
        return bool(self.world.leaders())


@pytest.mark.parametrize(
    "schedule_class", [KeepsIdentity, FoundsAgain, KeepsNoMinimum]
)
def test_schedules_find(schedule_class):
    runs = (schedule_class(seed, faults=WIPES).run() for seed in range(SEEDS))
    found = next((run.violation for run in runs if run.violation), "")
    print(found)
    assert found


def test_the_same_faults_with_every_mechanism_hold():
    for seed in range(SEEDS):
        schedule = consensus_seeded_schedule.SeededSchedule(seed, faults=WIPES)
        assert schedule.run().violation == ""


def test_a_founding_that_lost_power_is_begun_again():
    """At any step of the write, while it is still the first start."""
    for seed in range(20):
        world = consensus_seeded_world.SeededWorld(
            seed,
            3,
            replica.Replica,
            consensus_world.SETTINGS,
            consensus_disk.SimulatedDisk,
        )
        world.loss = world.doubling = world.slow = 0.0
        founder = world.nodes[0]
        world.hung.add(founder.name)
        world.run_for(0.4)
        assert founder.batch
        world.crash(founder)
        if not founder.disk.entries:
            # Nobody has seen the entry of this founding.
            world.checker = consensus_checker.Checker()
        world.hung.clear()
        world.first_start.add(founder.name)
        world.start(founder)
        world.run_for(3.0)
        assert len(world.leaders()) == 1
        assert len(world.voters_of(world.leaders()[0])) == 3
