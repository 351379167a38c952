"""What a replica tells of itself."""

from typing import NamedTuple

from cranberrymux.consensus import membership
from cranberrymux.consensus import role


class Status(NamedTuple):
    """State of one replica, for operators and health checks.

    Attributes:
        replica_id: Its identity.
        role: What it does.
        term: Highest term seen.
        leader_hint: Replica id of the leader; empty if unknown.
        members: Membership in force.
        commit_index: Last entry known to be committed.
        applied_index: Last entry handed to the state machine.
        durable_index: Last entry on this disk.
        last_index: Last entry in memory.
        silent_voters: Voters not heard for twice the lease, sorted. A leader
            hears all voters, a follower only its leader and candidates.
        quorum_heard: True if this replica leads and hears a quorum, or hears
            such a leader. False: nothing can be accepted; if the disks of
            `silent_voters` are lost, accepted entries may be lost with them.
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
