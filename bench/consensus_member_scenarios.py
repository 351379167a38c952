"""Fixed sequences of member changes and lost disks.

Each function raises `consensus_checker.ViolationError` if it finds a guarantee
broken.
"""

from collections.abc import Callable

from bench import consensus_checker
from bench import consensus_node
from bench import consensus_scenarios
from bench import consensus_simulated_cluster
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
    """Lets leaders of two terms change the same membership of four.

    Neither commits an entry of its own term before the change, so that the two
    memberships have disjoint quorums. Ongaro, bug in single-server membership
    changes, raft-dev list, 2015.
    """
    for seed in range(20):
        cluster = consensus_scenarios.build_cluster(seed, 4, replica_class)
        a, b, c, d = cluster.nodes
        for node in cluster.nodes:
            cluster.crash(node)
        e = consensus_node.Node("e", 1.0)
        cluster.nodes.append(e)
        for node in cluster.nodes:
            node.should_be_member = False
        grown_members = _first_membership(a).with_member(
            member.Member(e.disk.replica_id, "e", True)
        )
        for node in (a, e):
            _write_membership(node, b, grown_members)
        for node in (b, c, d):
            cluster.start(node)
        leader = _run_until_leader(cluster)
        cut_off, partner = [x for x in (b, c, d) if x is not leader]
        consensus_scenarios.partition(cluster, [cut_off], [leader, partner])
        removal = member_change.MemberChange(
            member_change.ChangeKind.REMOVE, a.disk.replica_id
        )
        cluster.change(leader, removal)
        cluster.run_for(0.1)
        cluster.crash(leader)
        cluster.crash(partner)
        cluster.start(a)
        cluster.start(e)
        cluster.run_for(2.0)


def two_changes_at_once(replica_class: type[replica_module.Replica]) -> None:
    """Cuts off a leader of three, which then removes both other members."""
    cluster = consensus_scenarios.build_cluster(1, 3, replica_class)
    leader = consensus_scenarios.wait_for_lease_holder(cluster)
    cluster.run_for(0.2)
    others = [node for node in cluster.nodes if node is not leader]
    consensus_scenarios.partition(cluster, [leader], others)
    for node in others:
        cluster.change(
            leader,
            member_change.MemberChange(
                member_change.ChangeKind.REMOVE, node.disk.replica_id
            ),
        )
    cluster.propose(leader)
    cluster.run_for(0.1)
    # Runs for longer than the lease, so that the others may elect a leader.
    for _ in range(10):
        cluster.run_for(0.1)
        for node in cluster.leaders():
            cluster.propose(node)


def removal_not_committed(replica_class: type[replica_module.Replica]) -> None:
    """Restarts a leader of two whose log alone holds its own removal."""
    cluster = consensus_scenarios.build_cluster(6, 2, replica_class)
    for node in cluster.nodes:
        node.should_be_member = False
    leader = consensus_scenarios.wait_for_lease_holder(cluster)
    cluster.run_for(0.2)
    other = next(node for node in cluster.nodes if node is not leader)
    consensus_scenarios.partition(cluster, [leader], [other])
    removal = member_change.MemberChange(
        member_change.ChangeKind.REMOVE, leader.disk.replica_id
    )
    if not cluster.change(leader, removal):
        raise consensus_checker.ViolationError(
            "the leader refused its own removal"
        )
    cluster.run_for(0.5)
    cluster.crash(leader)
    cluster.start(leader)
    cluster.cut_links.clear()
    cluster.run_for(2.0)
    if cluster.leaders() != [other]:
        raise consensus_checker.ViolationError(
            "the other member does not lead after the restart"
        )


def lost_disk(lose: Callable[[consensus_node.Node], None]) -> None:
    """Loses one of two disks that hold an entry; the other is then down.

    Args:
        lose: Replaces the disk of an instance by an empty one.
    """
    cluster = consensus_scenarios.build_cluster(5, 3, replica_module.Replica)
    cluster.checks_disks = False
    leader = consensus_scenarios.wait_for_lease_holder(cluster)
    cluster.run_for(0.2)
    lost, behind = [node for node in cluster.nodes if node is not leader]
    consensus_scenarios.partition(cluster, [behind], [leader, lost])
    for _ in range(5):
        cluster.propose(leader)
    cluster.run_for(0.1)
    if cluster.checker.last_committed_index < 5:
        raise consensus_checker.ViolationError(
            "a quorum of two does not commit"
        )
    cluster.crash(lost)
    lose(lost)
    cluster.crash(leader)
    cluster.cut_links.clear()
    cluster.start(lost)
    cluster.run_for(3.0)


def _first_membership(node: consensus_node.Node) -> membership.Membership:
    members = codec.decode_membership(node.disk.entries[1].payload)
    assert isinstance(members, membership.Membership)
    return members


def _write_membership(
    node: consensus_node.Node,
    source: consensus_node.Node,
    members: membership.Membership,
) -> None:
    node.disk.hard_state = write_module.HardState(1, "")
    node.disk.entries[1] = source.disk.entries[1]
    node.disk.entries[2] = entry_module.Entry(
        2,
        1,
        entry_module.EntryKind.MEMBERSHIP,
        codec.encode_membership(members),
    )


def _run_until_leader(
    cluster: consensus_simulated_cluster.SimulatedCluster,
) -> consensus_node.Node:
    for _ in range(2000):
        cluster.run_for(_STEP_S)
        if cluster.leaders():
            return cluster.leaders()[0]
    raise consensus_checker.ViolationError("no leader within 1 s")
