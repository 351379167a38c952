"""Decides which silent member a leader removes from the membership."""

from cranberrymux.consensus import member_change
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import role as role_module


def next_removal(
    replica: replica_module.Replica,
    now_s: float,
    minimum_voters: int,
    *,
    silent_s: float,
    surplus_silent_s: float,
) -> member_change.MemberChange | None:
    """Returns the removal of a member that has been silent too long, or None.

    Without one of an even number of voters the quorum is smaller by one: then
    the others can do no less without a silent voter than with it, even if it
    comes back. One that does is added again.

    Args:
        replica: This instance's replica.
        now_s: Present time on the replica's monotonic clock, seconds.
        minimum_voters: Number of voters at or below which none is removed.
        silent_s: Time without a message after which a member is removed,
            seconds.
        surplus_silent_s: The same for one of an even number of voters.
    """
    if replica.role is not role_module.Role.LEADER:
        return None
    silent_ids = list(replica.silent_learners(now_s, silent_s))
    voter_count = len(replica.journal.membership.voters)
    if voter_count > minimum_voters:
        limit_s = surplus_silent_s if voter_count % 2 == 0 else silent_s
        silent_ids = [*replica.silent_voters(now_s, limit_s), *silent_ids]
    if not silent_ids:
        return None
    return member_change.MemberChange(
        member_change.ChangeKind.REMOVE, silent_ids[0]
    )
