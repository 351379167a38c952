"""The roles of a replica in the consensus protocol."""

import enum


class Role(enum.Enum):
    """Role that a replica has in its present term.

    Attributes:
        LEARNER: Receives the log but does not vote: no voter in the
            membership that it holds.
        FOLLOWER: A voter that replicates a leader's log or waits for a leader.
        PRE_CANDIDATE: Asks the voters, without raising its term, whether they
            would vote for it.
        CANDIDATE: Requests votes in a new term.
        LEADER: Appends proposals and replicates its log to the members.
    """

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
