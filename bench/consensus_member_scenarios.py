"""Fixed sequences of changes of members and lost disks."""

from collections.abc import Callable

from bench import consensus_checker
from bench import consensus_node
from bench import consensus_scenarios
from bench import consensus_world
from cranberrymux.consensus import codec
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import member
from cranberrymux.consensus import member_change
from cranberrymux.consensus import membership
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import write as write_module

_STEP_S = 0.0005


def change_without_own_commit(
    replica_class: type[replica_module.Replica],
) -> None:
    """Two leaders change a membership of four without an entry between.

    Ongaro, bug in single-server membership changes, raft-dev list, 2015.
    """
    for seed in range(20):
        world = consensus_scenarios.build(seed, 4, replica_class)
        a, b, c, d = world.nodes
        for node in world.nodes:
            world.crash(node)
        e = consensus_node.Node("e", 1.0)
        world.nodes.append(e)
        for node in world.nodes:
            node.is_wanted = False
        grown = _members_of(a).with_member(
            member.Member(e.disk.replica_id, "e", True)
        )
        for node in (a, e):
            _preset_members(node, b, grown)
        for node in (b, c, d):
            world.start(node)
        leader = _wait_for_leader(world)
        left_out, partner = [x for x in (b, c, d) if x is not leader]
        consensus_scenarios.separate(world, [left_out], [leader, partner])
        removal = member_change.MemberChange(
            member_change.ChangeKind.REMOVE, a.disk.replica_id
        )
        world.change(leader, removal)
        world.run_for(0.1)
        world.crash(leader)
        world.crash(partner)
        world.start(a)
        world.start(e)
        world.run_for(2.0)


def two_changes_at_once(replica_class: type[replica_module.Replica]) -> None:
    """A leader that is alone removes the others one after the other."""
    world = consensus_scenarios.build(1, 3, replica_class)
    leader = consensus_scenarios.elect(world)
    world.run_for(0.2)
    others = [node for node in world.nodes if node is not leader]
    consensus_scenarios.separate(world, [leader], others)
    for node in others:
        world.change(
            leader,
            member_change.MemberChange(
                member_change.ChangeKind.REMOVE, node.disk.replica_id
            ),
        )
    world.propose(leader)
    world.run_for(0.1)
    # Longer than the lease, so that the others may elect.
    for _ in range(10):
        world.run_for(0.1)
        for node in world.leaders():
            world.propose(node)


def removal_not_committed(replica_class: type[replica_module.Replica]) -> None:
    """The leader of two removes itself, and only its own log has that."""
    world = consensus_scenarios.build(6, 2, replica_class)
    for node in world.nodes:
        node.is_wanted = False
    leader = consensus_scenarios.elect(world)
    world.run_for(0.2)
    other = next(node for node in world.nodes if node is not leader)
    consensus_scenarios.separate(world, [leader], [other])
    removal = member_change.MemberChange(
        member_change.ChangeKind.REMOVE, leader.disk.replica_id
    )
    if not world.change(leader, removal):
        raise consensus_checker.ViolationError("the removal was not taken")
    world.run_for(0.5)
    world.crash(leader)
    world.start(leader)
    world.cut.clear()
    world.run_for(2.0)
    if world.leaders() != [other]:
        raise consensus_checker.ViolationError("nobody can be elected")


def lost_disk(lose: Callable[[consensus_node.Node], None]) -> None:
    """One of two disks that hold an entry is lost, then the other is away.

    Args:
        lose: Empties an instance's disk.
    """
    world = consensus_scenarios.build(5, 3, replica_module.Replica)
    world.checks_disks = False
    leader = consensus_scenarios.elect(world)
    world.run_for(0.2)
    lost, behind = [node for node in world.nodes if node is not leader]
    consensus_scenarios.separate(world, [behind], [leader, lost])
    for _ in range(5):
        world.propose(leader)
    world.run_for(0.1)
    if world.checker.last_committed < 5:
        raise consensus_checker.ViolationError("a quorum accepts nothing")
    world.crash(lost)
    lose(lost)
    world.crash(leader)
    world.cut.clear()
    world.start(lost)
    world.run_for(3.0)


def _members_of(node: consensus_node.Node) -> membership.Membership:
    members = codec.decode_membership(node.disk.entries[1].payload)
    assert isinstance(members, membership.Membership)
    return members


def _preset_members(
    node: consensus_node.Node,
    like: consensus_node.Node,
    members: membership.Membership,
) -> None:
    node.disk.hard_state = write_module.HardState(1, "")
    node.disk.entries[1] = like.disk.entries[1]
    node.disk.entries[2] = entry_module.Entry(
        2,
        1,
        entry_module.EntryKind.MEMBERSHIP,
        codec.encode_membership(members),
    )


def _wait_for_leader(
    world: consensus_world.World,
) -> consensus_node.Node:
    for _ in range(2000):
        world.run_for(_STEP_S)
        if world.leaders():
            return world.leaders()[0]
    raise consensus_checker.ViolationError("no leader")
