"""A change of the membership by one replica."""

import enum
from typing import NamedTuple


class ChangeKind(enum.Enum):
    """Kind of change of the membership.

    Attributes:
        ADD_LEARNER: The replica joins; it receives the log but has no vote.
        PROMOTE: The replica, a learner that has caught up, becomes a voter.
        REMOVE: The replica, voter or learner, leaves the membership.
    """

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class MemberChange(NamedTuple):
    """A requested change of the membership; it concerns one replica.

    Attributes:
        kind: Kind of the change.
        replica_id: The replica that is added, promoted or removed.
        address: For `ADD_LEARNER`, the `ip:port` that members connect to;
            otherwise empty.
    """

    kind: ChangeKind
    replica_id: str
    address: str = ""
