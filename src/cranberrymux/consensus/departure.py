"""Which voters a leader lets go because they are silent."""

from cranberrymux.consensus import member_change
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import role as role_module


def next_removal(
    replica: replica_module.Replica,
    now_s: float,
    minimum_voters: int,
    silent_voter_s: float,
) -> member_change.MemberChange | None:
    """The removal that the leader should propose, or None.

    Args:
        replica: This instance's replica.
        now_s: Present time.
        minimum_voters: So many voters are always kept.
        silent_voter_s: A voter that was not heard for so long is let go.
    """
    if replica.role is not role_module.Role.LEADER:
        return None
    if len(replica.journal.members.voters) <= minimum_voters:
        return None
    for silent in replica.silent_voters(now_s, silent_voter_s):
        return member_change.MemberChange(
            member_change.ChangeKind.REMOVE, silent
        )
    return None
