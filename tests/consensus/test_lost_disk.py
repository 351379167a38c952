"""A replica that lost its disk is replaced without losing entries."""

import pytest

from bench import consensus_scenarios
from cranberrymux.consensus import member_change
from cranberrymux.consensus import refusals
from cranberrymux.consensus import replica
from cranberrymux.consensus import role


@pytest.fixture
def world():
    built = consensus_scenarios.build(11, 3, replica.Replica)
    leader = consensus_scenarios.elect(built)
    for _ in range(30):
        built.propose(leader)
        built.run_for(0.01)
    # Lets the last answers arrive.
    built.run_for(0.2)
    return built


def _lose_disk(world, node):
    world.crash(node)
    node.lose_disk()
    world.checks_disks = False
    world.start(node)


def _voters(world):
    leader = consensus_scenarios.elect(world)
    return leader.replica.journal.members.voters


def test_lost_replica_is_replaced_under_a_new_identity(world):
    lost = next(x for x in world.nodes if x not in world.leaders())
    old = lost.disk.replica_id
    _lose_disk(world, lost)
    assert lost.replica.role is role.Role.LEARNER
    world.run_for(2.0)
    voters = _voters(world)
    assert lost.disk.replica_id in voters
    assert old not in voters
    assert len(voters) == 3
    assert lost.applied_index == world.checker.last_committed


def test_second_instance_lost_right_after_the_repair(world):
    order = [x for x in world.nodes if x not in world.leaders()]
    order += world.leaders()
    for lost in order:
        accepted = world.checker.last_committed
        _lose_disk(world, lost)
        while lost.disk.replica_id not in _voters(world) or (
            len(_voters(world)) != 3
        ):
            world.run_for(0.02)
        assert accepted >= 30
        assert world.checker.last_committed >= accepted
    # Every disk was lost once, and every accepted entry is on a quorum.
    world.run_for(1.0)
    digests = {x.digest for x in world.nodes}
    assert len(digests) == 1


def test_two_disks_at_once_stall_and_are_told(world):
    accepted = world.checker.last_committed
    leader = world.leaders()[0]
    others = [x for x in world.nodes if x is not leader]
    old = {x.disk.replica_id for x in others}
    for lost in others:
        _lose_disk(world, lost)
    world.run_for(3.0)
    for _ in range(3):
        for node in world.nodes:
            world.propose(node)
    world.run_for(1.0)
    assert world.checker.last_committed == accepted
    assert world.leaders() == []
    status = leader.replica.status(leader.local_s(world.now_s))
    assert not status.quorum_heard
    assert set(status.silent_voters) == old
    now_s = leader.local_s(world.now_s)
    refused = leader.replica.propose(now_s, b"x")
    assert refused == refusals.NotLeader(refusals.NotLeaderReason.ELECTING, "")


def test_learner_is_no_voter_before_it_has_caught_up(world):
    lost = next(x for x in world.nodes if x not in world.leaders())
    leader = world.leaders()[0]
    _lose_disk(world, lost)
    lost.is_wanted = False
    # Only its messages to the leader are cut, so it looks silent.
    links = {(lost.name, leader.name)}
    world.cut |= links
    world.run_for(0.6)
    identity = lost.disk.replica_id
    kind = member_change.ChangeKind
    add = member_change.MemberChange(kind.ADD_LEARNER, identity, lost.name)
    assert world.change(leader, add)
    world.run_for(0.3)
    now_s = leader.local_s(world.now_s)
    promote = member_change.MemberChange(kind.PROMOTE, identity)
    refused = leader.replica.change_members(now_s, promote)
    assert refused.reason is refusals.RefusalReason.NOT_CAUGHT_UP
    assert identity not in _voters(world)


def test_live_name_is_not_replaced(world):
    leader = world.leaders()[0]
    follower = next(x for x in world.nodes if x is not leader)
    add = member_change.MemberChange(
        member_change.ChangeKind.ADD_LEARNER, f"{follower.name}@9", "x"
    )
    refused = leader.replica.change_members(leader.local_s(world.now_s), add)
    assert refused.reason is refusals.RefusalReason.NAME_IN_USE
