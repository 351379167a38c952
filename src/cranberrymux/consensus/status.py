"""Status of a replica for operators."""

from typing import NamedTuple

from cranberrymux.consensus import membership
from cranberrymux.consensus import role


class Status(NamedTuple):
    """State of one replica at one moment, for operators and health checks.

    Attributes:
        replica_id: Identity of this replica, `name@incarnation`.
        role: Role in the present term.
        term: Highest term seen.
        leader_hint: Replica id of the leader; empty if unknown.
        members: Membership in force, committed or not.
        commit_index: Index of the last entry known to be committed.
        applied_index: Index of the last entry handed to the state machine.
        durable_index: Index of the last entry that is synced to this disk.
        last_index: Index of the last entry in memory.
        silent_voters: Replica ids, sorted, of voters not heard from for twice
            the lease. A leader hears from all voters, a follower only from
            its leader and from candidates.
        quorum_heard: True if this replica leads and hears from a quorum, or
            hears from a leader. If false, no proposal can be committed, and
            committed entries may be lost if the disks of `silent_voters` are
            lost.
    """

    replica_id: str
    role: role.Role
    term: int
    leader_hint: str
    members: membership.Membership
    commit_index: int
    applied_index: int
    durable_index: int
    last_index: int
    silent_voters: tuple[str, ...]
    quorum_heard: bool
