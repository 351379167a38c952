"""Replaces a lost replica by a new one with the same name."""

from cranberrymux.consensus import member as member_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import membership
from cranberrymux.consensus import replica as replica_module


def next_change(
    replica: replica_module.Replica, now_s: float
) -> member_change.MemberChange | None:
    """Returns the next change for a replacement, or None if none is possible.

    A learner that has caught up is promoted; then the older replica with its
    name is removed. In this order, every committed entry stays on as many
    disks as before.

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
            return promotion
    for member in members.members:
        if not _is_superseded(members, member):
            continue
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
