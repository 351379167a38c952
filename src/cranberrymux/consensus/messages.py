"""Messages between replicas.

Every message has `cluster_id`, `sender` and `recipient` (replica ids) and
`term`. `sent_at_s` is the leader's own clock, echoed in the answer.
"""

from typing import NamedTuple

from cranberrymux.consensus import entry
from cranberrymux.consensus import membership


class VoteRequest(NamedTuple):
    """Asks for a vote, or with `pre_vote` whether one would be given.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The candidate.
        recipient: The voter asked.
        term: Term that the candidate stands for.
        pre_vote: True to ask only; the answer binds nobody.
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
        term: Term asked for if granted, else the voter's own term.
        pre_vote: As in the request.
        granted: True if the vote is given.
    """

    cluster_id: str
    sender: str
    recipient: str
    term: int
    pre_vote: bool
    granted: bool


class AppendRequest(NamedTuple):
    """Entries that follow one the recipient should have; also a heartbeat.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The leader.
        recipient: A member.
        term: The leader's term.
        previous_index: Index of the entry before the first one here.
        previous_term: Term of that entry.
        entries: Entries without gaps; may be empty.
        commit_index: What the leader knows to be committed.
        sent_at_s: The leader's clock.
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
    """Answers an `AppendRequest`, after the entries are durable.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The member.
        recipient: The leader.
        term: The member's term.
        accepted: True if the log agrees with the leader's up to
            `match_index`.
        match_index: If accepted, the last entry known to agree; else where
            the leader may try next.
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
    """A piece of the leader's snapshot.

    Attributes:
        cluster_id: The sender's cluster.
        sender: The leader.
        recipient: A member whose next entry the leader no longer has.
        term: The leader's term.
        log_index: Last entry that the snapshot covers.
        snapshot_term: Term of that entry.
        members: Membership in force at that entry.
        offset: Place of `data` in the snapshot, bytes.
        total_bytes: Size of the whole snapshot's data.
        data: The piece.
        sent_at_s: The leader's clock.
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
        received_bytes: Bytes of that snapshot held without gaps.
        installed: True if the member's log now reaches `index`, durably.
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
