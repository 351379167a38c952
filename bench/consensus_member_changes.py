"""Drives the member changes that the control program makes at a leader."""

from collections.abc import Callable

from bench import consensus_node
from cranberrymux.consensus import member_change
from cranberrymux.consensus import replacement

Change = Callable[[consensus_node.Node, member_change.MemberChange], bool]


def propose_next_change(
    nodes: list[consensus_node.Node],
    leader: consensus_node.Node,
    now_s: float,
    change: Change,
) -> None:
    """Proposes the next member change at a leader, if one is due.

    Replacements of lost replicas come first; then running instances that are
    not members are added as learners.

    Args:
        nodes: All instances, running or not.
        leader: Instance in the leader role.
        now_s: Present time of the virtual clock, seconds.
        change: Proposes a member change and returns whether it was taken.
    """
    if leader.paused_until_s > now_s or leader.replica is None:
        return
    due_change = replacement.next_change(
        leader.replica, leader.local_time_s(now_s)
    )
    if due_change is not None:
        change(leader, due_change)
        return
    members = leader.replica.journal.membership
    for node in nodes:
        replica_id = node.disk.replica_id
        if node.replica is None or not node.should_be_member:
            continue
        if members.find(replica_id) is None:
            addition = member_change.MemberChange(
                member_change.ChangeKind.ADD_LEARNER, replica_id, node.name
            )
            change(leader, addition)
            return
