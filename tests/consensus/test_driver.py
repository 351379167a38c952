"""Log drivers on real data folders: founding, restart and disk failure.

Guards against entries that are lost or applied twice over a restart, a backlog
without limit, and an instance that goes on to answer after its disk failed or
its log contradicted another leader's.
"""

from cranberrymux import storage
from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import codec
from cranberrymux.consensus import member_change
from cranberrymux.consensus import refusals
from cranberrymux.consensus import role
from tests.consensus import cluster as cluster_module


def test_added_instances_become_voters_and_apply_commands(cluster):
    members = cluster.instances[0].driver.replica.journal.membership
    assert members.voters == {
        instance.identity for instance in cluster.instances
    }
    cluster.propose(b"first")
    assert [instance.applied for instance in cluster.instances] == [
        [b"first"]
    ] * 3


def test_founding_on_a_member_is_refused(cluster):
    refused = cluster.instances[1].driver.found_cluster(
        cluster.now_s, "other", "b:1"
    )
    assert refused.reason is refusals.RefusalReason.ALREADY_DONE


def test_restart_restores_all_entries_from_snapshot_and_log(cluster):
    for number in range(100):
        cluster.propose(b"%d" % number)
    expected = [b"%d" % number for number in range(100)]
    for instance in cluster.instances:
        instance.folder.close()
        instance.applied = []
        instance.start(cluster.now_s)
    cluster.run_for(3.0)
    cluster.propose(b"100")
    cluster.run_for(0.2)
    for instance in cluster.instances:
        assert instance.applied == [*expected, b"100"]
        assert instance.driver.replica.journal.snapshot.log_index > 0


def test_instance_with_failed_disk_sends_and_accepts_nothing(cluster):
    leader = cluster.leader()
    disk_full = storage.StorageError(
        storage.StorageFailure.DISK_FULL, "/data", "no space left"
    )
    proposed = leader.driver.propose(cluster.now_s, b"lost")
    batch = leader.driver.next_batch()
    actions = leader.driver.batch_done(cluster.now_s, batch, disk_full)
    assert actions == actions_module.Actions()
    cluster.network.extend(proposed.actions.outgoing)
    cluster.settle()
    assert b"lost" not in leader.applied
    assert not leader.driver.may_read(cluster.now_s)
    assert leader.driver.lease_until_s(cluster.now_s) is None
    refused = leader.driver.propose(cluster.now_s, b"x")
    assert refused.reason is refusals.RefusalReason.STORAGE_FAILED
    assert "disk-full" in refused.detail
    assert leader.driver.storage_error == disk_full
    cluster.run_for(3.0)
    assert cluster.leader() is not leader


def test_large_entry_and_full_backlog_are_refused(cluster):
    leader = cluster.leader().driver
    large = b"x" * (cluster_module.SETTINGS.max_entry_bytes + 1)
    refused = leader.propose(cluster.now_s, large)
    assert refused.reason is refusals.RefusalReason.TOO_LARGE
    for _ in range(cluster_module.SETTINGS.max_uncommitted_entries):
        refused = leader.propose(cluster.now_s, b"x")
    refused = leader.propose(cluster.now_s, b"x")
    assert refused.reason is refusals.RefusalReason.BACKLOG_FULL


def test_backlog_full_in_bytes_accepts_again_after_commit(cluster):
    leader = cluster.leader()
    payload = b"x" * cluster_module.SETTINGS.max_entry_bytes
    proposals = []
    for _ in range(
        cluster_module.SETTINGS.max_uncommitted_bytes // len(payload)
    ):
        proposals.append(leader.driver.propose(cluster.now_s, payload))
    refused = leader.driver.propose(cluster.now_s, b"x")
    assert refused.reason is refusals.RefusalReason.BACKLOG_FULL
    for proposed in proposals:
        cluster.act(leader, proposed.actions)
    cluster.settle()
    cluster.propose(b"x")


def test_snapshot_is_taken_once_log_bytes_reach_the_limit(tmp_path):
    settings = cluster_module.SETTINGS._replace(snapshot_log_bytes=1000)
    built = cluster_module.Cluster(tmp_path, settings)
    founder = built.instances[0]
    built.act(
        founder, founder.driver.found_cluster(built.now_s, "cluster", "a:1")
    )
    built.settle()
    built.run_for(2.0)
    for _ in range(3):
        built.propose(b"x" * 400)
    journal = founder.driver.replica.journal
    assert journal.snapshot.log_index == journal.applied_index


def test_proposal_to_follower_is_refused_with_the_leader(cluster):
    leader = cluster.leader()
    follower = next(
        instance for instance in cluster.instances if instance is not leader
    )
    refused = follower.driver.propose(cluster.now_s, b"x")
    assert refused == refusals.NotLeader(
        refusals.NotLeaderReason.FOLLOWING, leader.identity
    )


def test_message_of_another_cluster_is_ignored(cluster):
    leader = cluster.leader()
    follower = next(
        instance for instance in cluster.instances if instance is not leader
    )
    outgoing = leader.driver.tick(cluster.now_s + 0.2).outgoing
    message = codec.decode(outgoing[0].payload)
    foreign_message = message._replace(cluster_id="other", term=99)
    actions = follower.driver.receive(
        cluster.now_s, codec.encode(foreign_message)
    )
    assert actions == actions_module.Actions()
    assert follower.driver.replica.journal.term < 99


def test_malformed_message_returns_a_decode_error(cluster):
    receiver = cluster.instances[0].driver
    error = receiver.receive(cluster.now_s, b"\xff\xff")
    assert error.reason is codec.DecodeFailure.MALFORMED


def test_removed_leader_becomes_learner_and_another_leads(cluster):
    leader = cluster.leader()
    follower = next(
        instance for instance in cluster.instances if instance is not leader
    )
    removal = member_change.MemberChange(
        member_change.ChangeKind.REMOVE, leader.identity
    )
    cluster.change(leader, removal)
    assert leader.driver.replica.role is role.Role.LEARNER
    cluster.run_for(3.0)
    assert (
        leader.identity
        not in cluster.leader()
        .driver.replica.status(cluster.now_s)
        .members.voters
    )
    assert follower.driver.replica.role is not role.Role.LEARNER


def test_second_leader_of_a_term_stops_the_instance_as_corrupt(cluster):
    leader = cluster.leader()
    outgoing = leader.driver.tick(cluster.now_s + 0.2).outgoing
    heartbeat = codec.decode(outgoing[0].payload)
    second_leader = heartbeat._replace(
        sender=outgoing[0].recipient, recipient=leader.identity
    )
    actions = leader.driver.receive(cluster.now_s, codec.encode(second_leader))
    assert actions == actions_module.Actions()
    error = leader.driver.storage_error
    assert error.reason is storage.StorageFailure.CORRUPT
    assert "leads in term" in error.detail
    assert not leader.driver.may_read(cluster.now_s)
