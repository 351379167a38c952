"""The driver on real folders: founding, joining, restart, a failed disk."""

import random

import pytest

from cranberrymux import storage
from cranberrymux.consensus import codec
from cranberrymux.consensus import driver
from cranberrymux.consensus import entry
from cranberrymux.consensus import member_change
from cranberrymux.consensus import refusals
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import role

SETTINGS = replica_settings.ReplicaSettings(
    snapshot_entries=40, retained_entries=5
)
ADD = member_change.ChangeKind.ADD_LEARNER


class Instance:
    def __init__(self, path, name, now_s, settings):
        self.path = path
        self.settings = settings
        self.name = name
        self.applied = []
        self.start(now_s)

    def start(self, now_s):
        self.folder = storage.open_folder(self.path, self.name)
        self.driver = driver.LogDriver(
            self.settings,
            random.Random(self.name),
            self.folder.restore(),
            now_s,
        )

    @property
    def identity(self):
        return self.driver.replica.replica_id


class Cluster:
    """Instances on real folders, with a network that loses nothing."""

    def __init__(self, folder, settings=SETTINGS):
        self.now_s = 5.0
        self.network = []
        self.instances = [
            Instance(str(folder / name), name, self.now_s, settings)
            for name in "abc"
        ]

    def act(self, instance, actions):
        assert isinstance(actions, driver.Actions), actions
        self.network.extend(actions.outgoing)
        if actions.install is not None:
            instance.applied = actions.install.data.split(b",")
        instance.applied += [
            one.payload
            for one in actions.committed
            if one.kind is entry.EntryKind.COMMAND
        ]
        if actions.snapshot_wanted:
            index = instance.driver.replica.journal.applied_index
            data = b",".join(instance.applied)
            self.act(
                instance,
                instance.driver.snapshot_taken(self.now_s, index, data),
            )

    def settle(self):
        busy = True
        while busy:
            busy = False
            for instance in self.instances:
                busy = self._sync(instance) or busy
            while self.network:
                busy = True
                self._deliver(self.network.pop(0))

    def run_for(self, duration_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += 0.03
            for instance in self.instances:
                self.act(instance, instance.driver.tick(self.now_s))
                due = instance.driver.due_change(self.now_s)
                if due is not None:
                    self.change(instance, due)
            self.settle()

    def change(self, instance, change):
        result = instance.driver.change_members(self.now_s, change)
        assert isinstance(result, driver.Proposed), result
        self.act(instance, result.actions)
        self.settle()

    def propose(self, payload):
        leader = self.leader()
        result = leader.driver.propose(self.now_s, payload)
        assert isinstance(result, driver.Proposed), result
        self.act(leader, result.actions)
        self.settle()

    def leader(self):
        return next(
            one for one in self.instances if one.driver.may_read(self.now_s)
        )

    def _sync(self, instance):
        batch = instance.driver.next_batch()
        if not batch:
            return False
        failed = instance.folder.apply(batch)
        done = instance.driver.batch_done(self.now_s, batch, failed)
        self.act(instance, done)
        return True

    def _deliver(self, outgoing):
        for instance in self.instances:
            if instance.identity == outgoing.recipient:
                received = instance.driver.receive(self.now_s, outgoing.payload)
                self.act(instance, received)


@pytest.fixture
def cluster(tmp_path):
    built = Cluster(tmp_path)
    first = built.instances[0]
    built.act(first, first.driver.found(built.now_s, "cluster", "a:1"))
    built.settle()
    built.run_for(2.0)
    for joining in built.instances[1:]:
        add = member_change.MemberChange(ADD, joining.identity, "x:1")
        built.change(first, add)
        built.run_for(0.5)
    yield built
    for one in built.instances:
        one.folder.close()


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
    large = b"x" * (SETTINGS.max_entry_bytes + 1)
    refused = leader.propose(cluster.now_s, large)
    assert refused.reason is refusals.RefusalReason.TOO_LARGE
    for _ in range(SETTINGS.max_uncommitted_entries):
        refused = leader.propose(cluster.now_s, b"x")
    refused = leader.propose(cluster.now_s, b"x")
    assert refused.reason is refusals.RefusalReason.BACKLOG_FULL


def test_backlog_is_bounded_in_bytes_and_opens_again(cluster):
    leader = cluster.leader()
    payload = b"x" * SETTINGS.max_entry_bytes
    taken = []
    for _ in range(SETTINGS.max_uncommitted_bytes // len(payload)):
        taken.append(leader.driver.propose(cluster.now_s, payload))
    refused = leader.driver.propose(cluster.now_s, b"x")
    assert refused.reason is refusals.RefusalReason.BACKLOG_FULL
    for one in taken:
        cluster.act(leader, one.actions)
    cluster.settle()
    cluster.propose(b"x")


def test_snapshot_is_wanted_by_bytes(tmp_path):
    settings = SETTINGS._replace(snapshot_log_bytes=1000)
    built = Cluster(tmp_path, settings)
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
