"""Random schedules of faults that must keep the consensus guarantees.

Crashes, lost messages, truncations, snapshots and changes of members overlap
at random and may lose committed entries or elect two leaders of one term. The
seeds are fixed; the benchmark runs many more.
"""

import pytest

from bench import consensus_schedule
from bench import consensus_simulated_disk
from bench import consensus_stored_disk

DISKS = {
    "simulated": consensus_simulated_disk.SimulatedDisk,
    "real storage": consensus_stored_disk.StoredDisk,
}


@pytest.mark.parametrize("disk", DISKS)
def test_random_schedules_keep_guarantees(disk):
    results = [
        consensus_schedule.Schedule(seed, disk_class=DISKS[disk]).run()
        for seed in range(1_000_000, 1_000_040)
    ]
    assert [result for result in results if result.violation] == []
    assert sum(result.states for result in results) > 40_000
    assert sum(result.was_progress_checked for result in results) >= 20
    for event in (
        "crashes during a sync",
        "truncations",
        "snapshots received",
        "member changes",
    ):
        assert sum(result.event_counts[event] for result in results) > 0, event


def test_schedule_with_same_seed_gives_same_result():
    first = consensus_schedule.Schedule(7).run()
    assert consensus_schedule.Schedule(7).run() == first
