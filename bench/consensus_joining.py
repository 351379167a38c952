"""The control program's part: lost replicas join, old ones leave."""

from collections.abc import Callable

from bench import consensus_node
from cranberrymux.consensus import member_change
from cranberrymux.consensus import replacement

Change = Callable[[consensus_node.Node, member_change.MemberChange], bool]


def step(
    nodes: list[consensus_node.Node],
    leader: consensus_node.Node,
    now_s: float,
    change: Change,
) -> None:
    """Takes the next step that is due at a leader.

    Args:
        nodes: All instances.
        leader: One that takes itself for the leader.
        now_s: The virtual clock.
        change: Proposes a change at the leader.
    """
    if leader.paused_until_s > now_s or leader.replica is None:
        return
    due = replacement.next_change(leader.replica, leader.local_s(now_s))
    if due is not None:
        change(leader, due)
        return
    members = leader.replica.journal.members
    for node in nodes:
        identity = node.disk.replica_id
        if node.replica is None or not node.is_wanted:
            continue
        if members.find(identity) is None:
            added = member_change.MemberChange(
                member_change.ChangeKind.ADD_LEARNER, identity, node.name
            )
            change(leader, added)
            return
