"""Replaces a lost replica by the new one of the same name, step by step."""

from cranberrymux.consensus import member as member_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import membership
from cranberrymux.consensus import replica as replica_module


def next_change(
    replica: replica_module.Replica, now_s: float
) -> member_change.MemberChange | None:
    """The next change that the leader should propose, or None.

    A learner that has caught up is promoted; then the older replica of its
    name is removed. Promoting first keeps every accepted entry on as many
    disks as before.

    Args:
        replica: This instance's replica.
        now_s: Present time.
    """
    members = replica.journal.members
    for one in members.members:
        if one.voter:
            continue
        promotion = member_change.MemberChange(
            member_change.ChangeKind.PROMOTE, one.replica_id
        )
        if replica.refuses_change(now_s, promotion) is None:
            return promotion
    for one in members.members:
        if not _superseded(members, one):
            continue
        removal = member_change.MemberChange(
            member_change.ChangeKind.REMOVE, one.replica_id
        )
        if replica.refuses_change(now_s, removal) is None:
            return removal
    return None


def _superseded(
    members: membership.Membership, one: member_module.Member
) -> bool:
    # Members are listed in the order of their last change.
    place = members.members.index(one)
    return any(
        later.voter and later.name == one.name
        for later in members.members[place + 1 :]
    )
