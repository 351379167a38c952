"""Decides which silent voter a leader removes from the membership."""

from cranberrymux.consensus import member_change
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import role as role_module


def next_removal(
    replica: replica_module.Replica,
    now_s: float,
    minimum_voters: int,
    silent_voter_s: float,
) -> member_change.MemberChange | None:
    """Returns the removal of a voter that has been silent too long, or None.

    Args:
        replica: This instance's replica.
        now_s: Present time on the replica's monotonic clock, seconds.
        minimum_voters: Number of voters at or below which none is removed.
        silent_voter_s: Time without a message after which a voter is removed,
            seconds.
    """
    if replica.role is not role_module.Role.LEADER:
        return None
    if len(replica.journal.membership.voters) <= minimum_voters:
        return None
    for silent_id in replica.silent_voters(now_s, silent_voter_s):
        return member_change.MemberChange(
            member_change.ChangeKind.REMOVE, silent_id
        )
    return None
