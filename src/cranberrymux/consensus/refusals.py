"""Sentinels for what a replica does not take."""

import enum
from typing import NamedTuple


class NotLeaderReason(enum.Enum):
    """Why a replica takes no proposals.

    Attributes:
        FOLLOWING: Another replica leads.
        ELECTING: No leader is known.
        NOT_A_MEMBER: This replica has never received the log, or was removed.
    """

    FOLLOWING = "following"
    ELECTING = "electing"
    NOT_A_MEMBER = "not-a-member"


class NotLeader(NamedTuple):
    """Ask another replica.

    Attributes:
        reason: Why.
        leader_hint: Replica id of the leader; empty if unknown.
    """

    reason: NotLeaderReason
    leader_hint: str


class RefusalReason(enum.Enum):
    """Why a leader does not take a proposal.

    Attributes:
        TOO_LARGE: The payload is over `max_entry_bytes`.
        BACKLOG_FULL: Too many entries wait for the quorum.
        CHANGE_IN_PROGRESS: The last change of members is not yet committed.
        TERM_NOT_COMMITTED: The leader has not yet committed in its term.
        NAME_IN_USE: A live replica of that name is a member.
        NOT_A_MEMBER: No member has that replica id.
        ALREADY_DONE: The membership is already so.
        NOT_CAUGHT_UP: The learner's log lags too far.
        LAST_VOTER: The change would leave no voter.
        STORAGE_FAILED: This replica's disk failed; it acknowledges nothing.
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
    """The leader took nothing; the proposal is proven not accepted.

    Attributes:
        reason: Why.
        detail: One line for people.
    """

    reason: RefusalReason
    detail: str
