"""Decides whether a replica may leave the membership before it ends."""

from cranberrymux.consensus import member_change
from cranberrymux.consensus import replica as replica_module


def must_stay(
    replica: replica_module.Replica, leaving_id: str, minimum_voters: int
) -> bool:
    """Returns whether a member has to stay even if all learners are promoted.

    Args:
        replica: This instance's replica.
        leaving_id: The replica that ends.
        minimum_voters: Least number of voters without it.
    """
    members = replica.journal.membership
    if members.find(leaving_id) is None:
        return False
    return len(members.members) <= minimum_voters


def next_removal(
    replica: replica_module.Replica, leaving_id: str, minimum_voters: int
) -> member_change.MemberChange | None:
    """Returns the removal of a replica that ends; None if it may not leave.

    A voter that is down still counts for the quorum, but its disk still holds
    the log. With fewer than `minimum_voters` voters, the loss of disks that has
    to be tolerated could leave none that holds an accepted entry.

    Args:
        replica: This instance's replica.
        leaving_id: The replica that ends.
        minimum_voters: Least number of voters without it.
    """
    members = replica.journal.membership
    leaving = members.find(leaving_id)
    if leaving is None:
        return None
    if leaving.voter and len(members.voters) <= minimum_voters:
        return None
    return member_change.MemberChange(
        member_change.ChangeKind.REMOVE, leaving_id
    )


def has_left(replica: replica_module.Replica, leaving_id: str) -> bool:
    """Returns whether the membership without a replica is committed.

    Args:
        replica: The leader, or the replica itself.
        leaving_id: The replica that ends.
    """
    journal = replica.journal
    return (
        journal.membership.find(leaving_id) is None
        and journal.membership_index <= journal.commit_index
    )
