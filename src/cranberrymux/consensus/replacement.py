"""Replaces a lost replica by a new one with the same name."""

from cranberrymux.consensus import member as member_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import membership
from cranberrymux.consensus import replica as replica_module

# With fewer voters left, one disk alone would hold what is accepted until the
# successor is promoted.
MINIMUM_LEFT = 2


def next_change(
    replica: replica_module.Replica, now_s: float
) -> member_change.MemberChange | None:
    """Returns the next change for a replacement, or None if none is possible.

    Once a learner has caught up, the older replica with its name, whose disk
    is lost, is removed and the learner is promoted. The lost one goes first:
    if the learner were lost as well, two voters that never come back could put
    the quorum out of reach.

    Args:
        replica: This instance's replica.
        now_s: Present time on the replica's monotonic clock, seconds.
    """
    members = replica.journal.membership
    for member in members.members:
        if member.voter:
            continue
        promotion = member_change.MemberChange(
            member_change.ChangeKind.PROMOTE, member.replica_id
        )
        if replica.change_refusal(now_s, promotion) is None:
            return _remove_predecessor(replica, now_s, member) or promotion
    for member in members.members:
        if _is_superseded(members, member):
            removal = _remove(replica, now_s, member)
            if removal is not None:
                return removal
    return None


def _remove_predecessor(
    replica: replica_module.Replica,
    now_s: float,
    successor: member_module.Member,
) -> member_change.MemberChange | None:
    members = replica.journal.membership
    if len(members.voters) <= MINIMUM_LEFT:
        return None
    for member in members.members:
        if member.voter and member.name == successor.name:
            return _remove(replica, now_s, member)
    return None


def _remove(
    replica: replica_module.Replica,
    now_s: float,
    member: member_module.Member,
) -> member_change.MemberChange | None:
    """Returns the removal of a member, or None if it is refused."""
    removal = member_change.MemberChange(
        member_change.ChangeKind.REMOVE, member.replica_id
    )
    if replica.change_refusal(now_s, removal) is None:
        return removal
    return None


def _is_superseded(
    members: membership.Membership, member: member_module.Member
) -> bool:
    # Members are listed in the order of their last change.
    position = members.members.index(member)
    return any(
        later.voter and later.name == member.name
        for later in members.members[position + 1 :]
    )
