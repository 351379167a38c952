"""The payload bytes that a replica holds in its log have a bound.

Guards against control instances that keep as many entries as ever while the
entries grow, and exceed their memory at each start once the log is long.
"""

from cranberrymux.consensus import entry
from cranberrymux.consensus import log as log_module
from cranberrymux.consensus import replica_settings
from cranberrymux.storage import opening
from tests.consensus import cluster as cluster_module

PAYLOAD_BYTES = 1 << 10
SETTINGS = cluster_module.SETTINGS._replace(
    snapshot_entries=1000,
    retained_entries=1000,
    snapshot_log_bytes=20 * PAYLOAD_BYTES,
    retained_log_bytes=8 * PAYLOAD_BYTES,
)


def make_log(payload_sizes):
    entries = [
        entry.Entry(index, 1, entry.EntryKind.COMMAND, b"x" * size)
        for index, size in enumerate(payload_sizes, 1)
    ]
    return log_module.Log(0, 0, entries)


def held_bytes(instance):
    log = instance.driver.replica.journal.log
    held = log.between(log.first_index, log.last_index)
    return sum(len(kept.payload) for kept in held)


def found(folder, settings):
    cluster = cluster_module.Cluster(folder, settings)
    founder = cluster.instances[0]
    cluster.act(
        founder,
        founder.driver.found_cluster(cluster.now_s, "cluster", "a:1"),
    )
    cluster.settle()
    cluster.run_for(2.0)
    return cluster, founder


def test_large_entries_before_a_snapshot_are_dropped_by_their_bytes(tmp_path):
    """Guards against a log that grows with the size of its entries."""
    cluster, founder = found(tmp_path, SETTINGS)
    bound = SETTINGS.snapshot_log_bytes + SETTINGS.retained_log_bytes
    for number in range(200):
        for instance in cluster.instances:
            # The state of the members, which a snapshot holds, stays small.
            instance.applied.clear()
        cluster.propose(b"%06d" % number + b"x" * (PAYLOAD_BYTES - 6))
        assert held_bytes(founder) <= bound + PAYLOAD_BYTES, number
    assert founder.driver.replica.journal.snapshot.log_index > 0
    assert held_bytes(founder) >= SETTINGS.retained_log_bytes


def test_a_state_larger_than_the_limit_is_not_written_all_the_time(tmp_path):
    """Guards against a disk that is busy with snapshots of a large state."""
    settings = SETTINGS._replace(snapshot_log_bytes=2 * PAYLOAD_BYTES)
    cluster, founder = found(tmp_path, settings)
    indexes = set()
    written_bytes = 0
    for number in range(200):
        cluster.propose(b"%06d" % number + b"x" * (PAYLOAD_BYTES - 6))
        taken = founder.driver.replica.journal.snapshot
        if taken.log_index not in indexes:
            indexes.add(taken.log_index)
            written_bytes += len(taken.data)
    assert len(indexes) > 3
    # The state of the members is all entries.
    assert written_bytes <= 3 * 200 * PAYLOAD_BYTES


def test_the_last_entries_within_both_limits_are_retained():
    log = make_log([10] * 9)
    log.retain_before(8, 4, 1000)
    assert (log.first_index, log.last_index) == (4, 9)
    log.retain_before(8, 4, 25)
    assert (log.first_index, log.last_index) == (6, 9)


def test_an_entry_larger_than_the_limit_is_not_retained():
    """Guards against a limit that one large entry passes."""
    log = make_log([10, 10, 500, 10])
    log.retain_before(4, 10, 499)
    assert log.first_index == 4
    assert log.term_at(3) == 1


def test_the_limits_in_use_bound_log_and_files():
    """Guards against defaults that exceed the memory of an instance."""
    settings = replica_settings.ReplicaSettings()
    held = settings.snapshot_log_bytes + settings.retained_log_bytes
    assert held <= 12 << 20
    assert settings.max_uncommitted_bytes <= 16 << 20
    assert settings.retained_log_bytes >= opening.SEGMENT_BYTES
