"""Raft messages between replicas.

Every message has `cluster_id`, `sender` and `recipient` (replica ids) and
`term`. `sent_at_s` is the leader's clock when it sent a request; the answer
echoes it, so that the leader can compute its lease on its own clock.
"""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import membership


class VoteRequest(NamedTuple):
    """Asks for a vote, or with `pre_vote` whether it would be granted.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The candidate.
        recipient: The voter asked.
        term: Term of the election.
        pre_vote: True for a pre-vote, whose answer binds no replica.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
    """

    cluster_id: str
    sender: str
    recipient: str
    term: int
    pre_vote: bool
    last_index: int
    last_term: int


class VoteAnswer(NamedTuple):
    """Answers a `VoteRequest`.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The voter.
        recipient: The candidate.
        term: Term of the request if granted, else the voter's own term.
        pre_vote: As in the request.
        granted: True if the vote or pre-vote is granted.
    """

    cluster_id: str
    sender: str
    recipient: str
    term: int
    pre_vote: bool
    granted: bool


class AppendRequest(NamedTuple):
    """Sends entries that follow `previous_index`; without any, a heartbeat.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The leader.
        recipient: A member of the cluster.
        term: The leader's term.
        previous_index: Index of the entry before `entries`, which the
            recipient must hold to accept them.
        previous_term: Term of that entry.
        entries: Entries without gaps; may be empty.
        commit_index: Last entry that the leader knows to be committed.
        sent_at_s: The leader's clock when it sent this message.
    """

    cluster_id: str
    sender: str
    recipient: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[entry.Entry, ...]
    commit_index: int
    sent_at_s: float


class AppendAnswer(NamedTuple):
    """Answers an `AppendRequest`, once the entries are durable.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The member.
        recipient: The leader.
        term: The member's term.
        accepted: True if the member's log matches the leader's up to
            `match_index`.
        match_index: If accepted, the last entry known to match; else the
            last entry that may match, for the leader's next attempt.
        previous_index: As in the request.
        sent_at_s: As in the request.
    """

    cluster_id: str
    sender: str
    recipient: str
    term: int
    accepted: bool
    match_index: int
    previous_index: int
    sent_at_s: float


class SnapshotChunk(NamedTuple):
    """Sends one chunk of the leader's snapshot.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The leader.
        recipient: A member whose next entry the leader has compacted.
        term: The leader's term.
        log_index: Last entry that the snapshot covers.
        snapshot_term: Term of that entry.
        members: Membership in force at that entry.
        offset: Position of `data` in the snapshot's data, bytes.
        total_bytes: Size of the snapshot's data.
        data: Bytes of this chunk.
        sent_at_s: The leader's clock when it sent this message.
    """

    cluster_id: str
    sender: str
    recipient: str
    term: int
    log_index: int
    snapshot_term: int
    members: membership.Membership
    offset: int
    total_bytes: int
    data: bytes
    sent_at_s: float


class SnapshotAnswer(NamedTuple):
    """Answers a `SnapshotChunk`.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The member.
        recipient: The leader.
        term: The member's term.
        log_index: As in the chunk.
        received_bytes: Bytes of the snapshot received so far without gaps.
        installed: True if the member's durable log covers `log_index`.
        sent_at_s: As in the chunk.
    """

    cluster_id: str
    sender: str
    recipient: str
    term: int
    log_index: int
    received_bytes: int
    installed: bool
    sent_at_s: float


Message = (
    VoteRequest
    | VoteAnswer
    | AppendRequest
    | AppendAnswer
    | SnapshotChunk
    | SnapshotAnswer
)
