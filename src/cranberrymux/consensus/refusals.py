"""Results for proposals that a replica does not append to the log."""

import enum
from typing import NamedTuple


class NotLeaderReason(enum.Enum):
    """Why a replica that is not the leader appends no proposals.

    Attributes:
        FOLLOWING: Another replica is known to lead.
        ELECTING: No leader is known.
        NOT_A_MEMBER: The replica holds no membership: it has never received
            the log.
    """

    FOLLOWING = "following"
    ELECTING = "electing"
    NOT_A_MEMBER = "not-a-member"


class NotLeader(NamedTuple):
    """The replica does not lead; the caller may ask another one.

    Attributes:
        reason: What the replica knows about a leader.
        leader_hint: Replica id of the leader; empty if unknown.
    """

    reason: NotLeaderReason
    leader_hint: str


class RefusalReason(enum.Enum):
    """Why a replica refuses a proposal, a change of members or a founding.

    Attributes:
        TOO_LARGE: The payload is larger than `max_entry_bytes`.
        BACKLOG_FULL: Too many entries or bytes are not yet committed.
        CHANGE_IN_PROGRESS: The previous change of members is not yet committed.
        TERM_NOT_COMMITTED: The leader has not yet committed an entry of its
            own term.
        NAME_IN_USE: A member with the same name and another incarnation is
            still heard from.
        NOT_A_MEMBER: No member has the replica id.
        ALREADY_DONE: The membership already has the change, or the replica
            that shall found a cluster already holds a log or a vote.
        NOT_CAUGHT_UP: The learner was not heard from within the lease time,
            has confirmed no entry to this leader, or lacks more than
            `promotion_lag_entries` committed entries.
        LAST_VOTER: The change would leave no voter.
        STORAGE_FAILED: A write of this replica failed; it acknowledges nothing.
    """

    TOO_LARGE = "too-large"
    BACKLOG_FULL = "backlog-full"
    CHANGE_IN_PROGRESS = "change-in-progress"
    TERM_NOT_COMMITTED = "term-not-committed"
    NAME_IN_USE = "name-in-use"
    NOT_A_MEMBER = "not-a-member"
    ALREADY_DONE = "already-done"
    NOT_CAUGHT_UP = "not-caught-up"
    LAST_VOTER = "last-voter"
    STORAGE_FAILED = "storage-failed"


class ProposalRefused(NamedTuple):
    """Nothing was appended; the proposal will never be committed.

    Attributes:
        reason: Which condition was not met.
        detail: Which value of the condition was found; one line for people.
    """

    reason: RefusalReason
    detail: str
