"""A fixed set of random schedules of faults; many more run in the bench."""

import pytest

from bench import consensus_disk
from bench import consensus_schedule
from bench import consensus_storage

DISKS = {
    "simulated": consensus_disk.SimulatedDisk,
    "real storage": consensus_storage.StoredDisk,
}


@pytest.mark.parametrize("disk", DISKS)
def test_guarantees_hold(disk):
    results = [
        consensus_schedule.Schedule(seed, disk_class=DISKS[disk]).run()
        for seed in range(1_000_000, 1_000_040)
    ]
    assert [x for x in results if x.violation] == []
    assert sum(x.states for x in results) > 40_000
    assert sum(x.was_calmed for x in results) >= 20
    for what in (
        "crashes during a sync",
        "truncations",
        "snapshots received",
        "member changes",
    ):
        assert sum(x.seen[what] for x in results) > 0, what


def test_schedule_is_the_same_on_every_run():
    first = consensus_schedule.Schedule(7).run()
    assert consensus_schedule.Schedule(7).run() == first
