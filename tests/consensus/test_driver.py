"""The driver on real folders: founding, joining, restart, a failed disk."""

from cranberrymux import storage
from cranberrymux.consensus import codec
from cranberrymux.consensus import driver
from cranberrymux.consensus import member_change
from cranberrymux.consensus import refusals
from cranberrymux.consensus import role
from tests.consensus import cluster as cluster_module


def test_founder_takes_the_others_in(cluster):
    members = cluster.instances[0].driver.replica.journal.members
    assert members.voters == {x.identity for x in cluster.instances}
    cluster.propose(b"first")
    assert [x.applied for x in cluster.instances] == [[b"first"]] * 3


def test_second_founding_is_refused(cluster):
    again = cluster.instances[1].driver.found(cluster.now_s, "other", "b:1")
    assert again.reason is refusals.RefusalReason.ALREADY_DONE


def test_restart_from_snapshot_and_log(cluster):
    for number in range(100):
        cluster.propose(b"%d" % number)
    expected = [b"%d" % number for number in range(100)]
    for one in cluster.instances:
        one.folder.close()
        one.applied = []
        one.start(cluster.now_s)
    cluster.run_for(3.0)
    cluster.propose(b"100")
    cluster.run_for(0.2)
    for one in cluster.instances:
        assert one.applied == [*expected, b"100"]
        assert one.driver.replica.journal.snapshot.log_index > 0


def test_failed_disk_silences_the_instance(cluster):
    leader = cluster.leader()
    refused = storage.StorageError(
        storage.StorageFailure.DISK_FULL, "/data", "no space left"
    )
    proposed = leader.driver.propose(cluster.now_s, b"lost")
    batch = leader.driver.next_batch()
    silent = leader.driver.batch_done(cluster.now_s, batch, refused)
    assert silent == driver.Actions()
    cluster.network.extend(proposed.actions.outgoing)
    cluster.settle()
    assert b"lost" not in leader.applied
    assert not leader.driver.may_read(cluster.now_s)
    assert leader.driver.vouches_until_s(cluster.now_s) is None
    again = leader.driver.propose(cluster.now_s, b"x")
    assert again.reason is refusals.RefusalReason.STORAGE_FAILED
    assert "disk-full" in again.detail
    assert leader.driver.storage_error == refused
    cluster.run_for(3.0)
    assert cluster.leader() is not leader


def test_bounds_are_refusals(cluster):
    leader = cluster.leader().driver
    large = b"x" * (cluster_module.SETTINGS.max_entry_bytes + 1)
    refused = leader.propose(cluster.now_s, large)
    assert refused.reason is refusals.RefusalReason.TOO_LARGE
    for _ in range(cluster_module.SETTINGS.max_uncommitted_entries):
        refused = leader.propose(cluster.now_s, b"x")
    refused = leader.propose(cluster.now_s, b"x")
    assert refused.reason is refusals.RefusalReason.BACKLOG_FULL


def test_backlog_is_bounded_in_bytes_and_opens_again(cluster):
    leader = cluster.leader()
    payload = b"x" * cluster_module.SETTINGS.max_entry_bytes
    taken = []
    for _ in range(
        cluster_module.SETTINGS.max_uncommitted_bytes // len(payload)
    ):
        taken.append(leader.driver.propose(cluster.now_s, payload))
    refused = leader.driver.propose(cluster.now_s, b"x")
    assert refused.reason is refusals.RefusalReason.BACKLOG_FULL
    for one in taken:
        cluster.act(leader, one.actions)
    cluster.settle()
    cluster.propose(b"x")


def test_snapshot_is_wanted_by_bytes(tmp_path):
    settings = cluster_module.SETTINGS._replace(snapshot_log_bytes=1000)
    built = cluster_module.Cluster(tmp_path, settings)
    first = built.instances[0]
    built.act(first, first.driver.found(built.now_s, "cluster", "a:1"))
    built.settle()
    built.run_for(2.0)
    for _ in range(3):
        built.propose(b"x" * 400)
    journal = first.driver.replica.journal
    assert journal.snapshot.log_index == journal.applied_index


def test_follower_names_the_leader(cluster):
    leader = cluster.leader()
    follower = next(x for x in cluster.instances if x is not leader)
    refused = follower.driver.propose(cluster.now_s, b"x")
    assert refused == refusals.NotLeader(
        refusals.NotLeaderReason.FOLLOWING, leader.identity
    )


def test_other_cluster_is_not_heard(cluster):
    leader = cluster.leader()
    follower = next(x for x in cluster.instances if x is not leader)
    outgoing = leader.driver.tick(cluster.now_s + 0.2).outgoing
    message = codec.decode(outgoing[0].payload)
    stranger = message._replace(cluster_id="other", term=99)
    heard = follower.driver.receive(cluster.now_s, codec.encode(stranger))
    assert heard == driver.Actions()
    assert follower.driver.replica.journal.term < 99


def test_unreadable_message_is_a_sentinel(cluster):
    driver_ = cluster.instances[0].driver
    found = driver_.receive(cluster.now_s, b"\xff\xff")
    assert found.reason is codec.DecodeFailure.MALFORMED


def test_role_follows_the_membership(cluster):
    leader = cluster.leader()
    follower = next(x for x in cluster.instances if x is not leader)
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


def test_contradiction_silences_the_instance(cluster):
    leader = cluster.leader()
    outgoing = leader.driver.tick(cluster.now_s + 0.2).outgoing
    heartbeat = codec.decode(outgoing[0].payload)
    second = heartbeat._replace(
        sender=outgoing[0].recipient, recipient=leader.identity
    )
    heard = leader.driver.receive(cluster.now_s, codec.encode(second))
    assert heard == driver.Actions()
    error = leader.driver.storage_error
    assert error.reason is storage.StorageFailure.CORRUPT
    assert "leads in term" in error.detail
    assert not leader.driver.may_read(cluster.now_s)
