"""Replacement of replicas that lost their disk.

Guards against accepted entries that are lost because a replica with an empty
disk is counted as the voter that it was before, or because a replacement
becomes a voter before it holds the log.
"""

import random

import pytest

from bench import consensus_scenarios
from bench import consensus_simulated_cluster
from cranberrymux.consensus import member_change
from cranberrymux.consensus import refusals
from cranberrymux.consensus import replica
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import role


@pytest.fixture
def world():
    built = consensus_scenarios.build_cluster(11, 3, replica.Replica)
    leader = consensus_scenarios.wait_for_lease_holder(built)
    for _ in range(30):
        built.propose(leader)
        built.run_for(0.01)
    # Long enough for the last answers to arrive.
    built.run_for(0.2)
    return built


def _lose_disk(world, node):
    world.crash(node)
    node.lose_disk()
    world.checks_disks = False
    world.start(node)


def _voters(world):
    leader = consensus_scenarios.wait_for_lease_holder(world)
    return leader.replica.journal.membership.voters


def test_lost_replica_is_replaced_under_a_new_identity(world):
    lost = next(node for node in world.nodes if node not in world.leaders())
    old_id = lost.disk.replica_id
    _lose_disk(world, lost)
    assert lost.replica.role is role.Role.LEARNER
    world.run_for(2.0)
    voters = _voters(world)
    assert lost.disk.replica_id in voters
    assert old_id not in voters
    assert len(voters) == 3
    assert lost.applied_index == world.checker.last_committed_index


# Guards against a quorum that is out of reach for good: the replacement is lost
# as well, between its promotion and the removal of the old replica.
@pytest.mark.parametrize("seed", range(20))
def test_a_disk_lost_again_and_again_leaves_a_quorum(world, seed):
    generator = random.Random(seed)
    lost = next(node for node in world.nodes if node not in world.leaders())
    for _ in range(8):
        _lose_disk(world, lost)
        world.run_for(generator.uniform(0.0, 0.6))
    world.run_for(5.0)
    voters = _voters(world)
    assert lost.disk.replica_id in voters
    assert len(voters) == 3


def test_a_lost_replica_is_removed_before_its_successor_votes(world):
    lost = next(node for node in world.nodes if node not in world.leaders())
    _lose_disk(world, lost)
    counts = set()
    for _ in range(400):
        world.run_for(0.005)
        for leader in world.leaders():
            counts.add(len(leader.replica.journal.membership.voters))
    assert counts == {2, 3}
    assert lost.disk.replica_id in _voters(world)


def test_disks_lost_one_after_another_lose_no_accepted_entry(world):
    loss_order = [node for node in world.nodes if node not in world.leaders()]
    loss_order += world.leaders()
    for lost in loss_order:
        accepted = world.checker.last_committed_index
        _lose_disk(world, lost)
        while lost.disk.replica_id not in _voters(world) or (
            len(_voters(world)) != 3
        ):
            world.run_for(0.02)
        assert accepted >= 30
        assert world.checker.last_committed_index >= accepted
    # By now every disk was lost once, and each accepted entry must be on a
    # quorum again.
    world.run_for(1.0)
    digests = {node.digest for node in world.nodes}
    assert len(digests) == 1


def test_two_disks_lost_at_once_stop_commits_and_are_reported(world):
    accepted = world.checker.last_committed_index
    leader = world.leaders()[0]
    others = [node for node in world.nodes if node is not leader]
    lost_ids = {node.disk.replica_id for node in others}
    for lost in others:
        _lose_disk(world, lost)
    world.run_for(3.0)
    for _ in range(3):
        for node in world.nodes:
            world.propose(node)
    world.run_for(1.0)
    assert world.checker.last_committed_index == accepted
    assert world.leaders() == []
    status = leader.replica.status(leader.local_time_s(world.now_s))
    assert not status.quorum_heard
    assert set(status.silent_voters) == lost_ids
    now_s = leader.local_time_s(world.now_s)
    refused = leader.replica.propose(now_s, b"x")
    assert refused == refusals.NotLeader(refusals.NotLeaderReason.ELECTING, "")


def test_promotion_of_lagging_learner_is_refused(world):
    lost = next(node for node in world.nodes if node not in world.leaders())
    leader = world.leaders()[0]
    _lose_disk(world, lost)
    lost.should_be_member = False
    # Only its messages to the leader are cut: it receives the log, but the
    # leader hears nothing from it.
    cut_links = {(lost.name, leader.name)}
    world.cut_links |= cut_links
    world.run_for(0.6)
    learner_id = lost.disk.replica_id
    kind = member_change.ChangeKind
    add = member_change.MemberChange(kind.ADD_LEARNER, learner_id, lost.name)
    assert world.change(leader, add)
    world.run_for(0.3)
    now_s = leader.local_time_s(world.now_s)
    promote = member_change.MemberChange(kind.PROMOTE, learner_id)
    refused = leader.replica.change_members(now_s, promote)
    assert refused.reason is refusals.RefusalReason.NOT_CAUGHT_UP
    assert learner_id not in _voters(world)


def test_promotion_of_learner_that_never_answered_is_refused():
    """Else an instance that is gone again counts for the quorum."""
    world = consensus_scenarios.build_cluster(11, 3, replica.Replica)
    leader = consensus_scenarios.wait_for_lease_holder(world)
    settings = consensus_simulated_cluster.SETTINGS
    assert leader.replica.journal.commit_index < settings.promotion_lag_entries
    add = member_change.MemberChange(
        member_change.ChangeKind.ADD_LEARNER, "z@1", "z"
    )
    assert world.change(leader, add)
    for _ in range(10):
        world.run_for(0.1)
        assert "z@1" not in _voters(world)


@pytest.fixture
def short_log_world():
    """A cluster whose whole log is shorter than the lag of a promotion."""
    settings = consensus_simulated_cluster.SETTINGS._replace(
        promotion_lag_entries=replica_settings.ReplicaSettings().promotion_lag_entries
    )
    built = consensus_scenarios.build_cluster(11, 3, replica.Replica, settings)
    consensus_scenarios.wait_for_lease_holder(built)
    built.run_for(0.2)
    return built


# Guards against a voter that never answered: with its disk lost as well, the
# quorum of four voters is out of reach for good.
def test_disk_lost_as_soon_as_its_replica_is_added_leaves_a_quorum(
    short_log_world,
):
    world = short_log_world
    lost = next(node for node in world.nodes if node not in world.leaders())
    leader = world.leaders()[0].replica
    _lose_disk(world, lost)
    while leader.journal.membership.find(lost.disk.replica_id) is None:
        world.run_for(0.002)
    _lose_disk(world, lost)
    world.run_for(5.0)
    voters = _voters(world)
    assert lost.disk.replica_id in voters
    assert len(voters) == 3


# Guards against a dead learner that a new leader takes for one that is there.
def test_learner_that_never_answered_is_not_promoted(short_log_world):
    world = short_log_world
    lost = next(node for node in world.nodes if node not in world.leaders())
    leader = world.leaders()[0]
    world.crash(lost)
    world.run_for(1.0)
    kind = member_change.ChangeKind
    learner_id = f"{lost.name}@9"
    add = member_change.MemberChange(kind.ADD_LEARNER, learner_id, lost.name)
    assert world.change(leader, add)
    world.run_for(0.1)
    assert leader.replica.journal.membership.find(learner_id).voter is False
    now_s = leader.local_time_s(world.now_s)
    promote = member_change.MemberChange(kind.PROMOTE, learner_id)
    refused = leader.replica.change_refusal(now_s, promote)
    assert isinstance(refused, refusals.ProposalRefused)
    assert refused.reason is refusals.RefusalReason.NOT_CAUGHT_UP


def test_replacement_of_live_member_is_refused(world):
    leader = world.leaders()[0]
    follower = next(node for node in world.nodes if node is not leader)
    add = member_change.MemberChange(
        member_change.ChangeKind.ADD_LEARNER, f"{follower.name}@9", "x"
    )
    refused = leader.replica.change_members(
        leader.local_time_s(world.now_s), add
    )
    assert refused.reason is refusals.RefusalReason.NAME_IN_USE
