"""Changes of the membership, one replica at a time."""

import enum
from typing import NamedTuple


class ChangeKind(enum.Enum):
    """What happens to the replica.

    Attributes:
        ADD_LEARNER: It receives the log and does not count.
        PROMOTE: A learner that has caught up becomes a voter.
        REMOVE: It leaves.
    """

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class MemberChange(NamedTuple):
    """One change of the membership.

    Attributes:
        kind: What happens.
        replica_id: To whom.
        address: For `ADD_LEARNER`, where peers reach it.
    """

    kind: ChangeKind
    replica_id: str
    address: str = ""
