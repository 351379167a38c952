"""What a replica does in the cluster."""

import enum


class Role(enum.Enum):
    """Role of a replica.

    Attributes:
        LEARNER: Receives the log; not a voter in its own membership.
        FOLLOWER: A voter that follows a leader, or waits for one.
        PRE_CANDIDATE: Asks whether it would be elected.
        CANDIDATE: Stands for election in a new term.
        LEADER: Takes proposals.
    """

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
