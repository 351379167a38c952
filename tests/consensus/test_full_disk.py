"""A replica whose disk has no room for a while, in a cluster on real folders.

Guards against a leader that keeps leading while it can store nothing, and
against a voter that counts for the quorum before it has shown that it can.
"""

import pytest

from cranberrymux.consensus import member_change
from cranberrymux.consensus import role
from tests.consensus import cluster as cluster_module

KIND = member_change.ChangeKind


class FullDiskCluster(cluster_module.Cluster):
    """Holds back the writes of one instance, as its disk is full."""

    def __init__(self, folder):
        super().__init__(folder)
        self.full = None
        self._waiting = None

    def end_full(self):
        instance, self.full = self.full, None
        if self._waiting is not None:
            batch, self._waiting = self._waiting, None
            self._finish(instance, batch)
        self.settle()

    def _sync(self, instance):
        if instance is not self.full:
            return super()._sync(instance)
        batch = instance.driver.next_batch()
        if batch:
            self._waiting = batch
            instance.driver.batch_delayed()
        return False

    def _finish(self, instance, batch):
        assert instance.folder.apply(batch) is None
        self.act(instance, instance.driver.batch_done(self.now_s, batch, None))


@pytest.fixture
def cluster(tmp_path):
    built = FullDiskCluster(tmp_path)
    founder = built.instances[0]
    built.act(founder, founder.driver.found_cluster(5.0, "cluster", "a"))
    built.settle()
    built.run_for(2.0)
    for instance in built.instances[1:]:
        add_learner(built, instance)
        built.run_for(0.5)
    assert len(founder.driver.replica.journal.voters) == 3
    return built


def add_learner(cluster, instance):
    change = member_change.MemberChange(
        KIND.ADD_LEARNER, instance.identity, instance.name
    )
    cluster.change(cluster.leader(), change)


def test_a_leader_whose_disk_is_full_hands_over_at_once(cluster):
    """Not only after the time that a stalled disk is given."""
    old = cluster.leader()
    settings = cluster_module.SETTINGS
    cluster.full = old
    cluster.propose(b"x")
    longest_election_s = settings.lease_s + 2 * settings.election_spread_s
    assert longest_election_s + 0.3 < settings.disk_stall_s + settings.lease_s
    cluster.run_for(longest_election_s + 0.3)
    assert cluster.leader() is not old
    assert old.driver.replica.role is role.Role.FOLLOWER
    cluster.propose(b"y")
    assert cluster.leader().applied == [b"x", b"y"]
    cluster.run_for(5.0)
    assert old.driver.replica.role is role.Role.FOLLOWER
    cluster.end_full()
    cluster.run_for(1.0)
    assert old.applied == [b"x", b"y"]


def test_a_learner_with_a_full_disk_and_a_whole_log_is_not_promoted(cluster):
    """It has nothing to write, so that its answers do not show the fault."""
    leader = cluster.leader()
    removed = next(x for x in cluster.instances if x is not leader)
    cluster.change(
        leader, member_change.MemberChange(KIND.REMOVE, removed.identity)
    )
    cluster.run_for(0.3)
    cluster.full = removed
    add_learner(cluster, removed)
    for _ in range(20):
        cluster.run_for(0.1)
        assert removed.identity not in leader.driver.replica.journal.voters
    cluster.end_full()
    cluster.run_for(0.5)
    assert removed.identity in leader.driver.replica.journal.voters
