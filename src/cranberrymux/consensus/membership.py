"""The set of members of a cluster, and its quorum."""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrymux.consensus import member as member_module


class Membership(NamedTuple):
    """The members that receive the log, and which of them are voters.

    Attributes:
        cluster_id: Generated when the cluster is founded; empty in a replica
            that has never received the log.
        members: Voters and learners, in the order of their last change.
    """

    cluster_id: str
    members: tuple[member_module.Member, ...]

    @property
    def voters(self) -> frozenset[str]:
        """Replica ids of the voters."""
        return frozenset(
            member.replica_id for member in self.members if member.voter
        )

    @property
    def quorum_size(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, replica_ids: Iterable[str]) -> bool:
        """Returns whether the voters among these replicas are a majority."""
        voters = self.voters
        if not voters:
            return False
        return len(voters.intersection(replica_ids)) >= self.quorum_size

    def find(self, replica_id: str) -> member_module.Member | None:
        """Returns the member with this id, or None."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def with_member(self, added: member_module.Member) -> "Membership":
        """Returns a copy with a member added last; it replaces its own id."""
        kept = tuple(
            member
            for member in self.members
            if member.replica_id != added.replica_id
        )
        return self._replace(members=(*kept, added))

    def without_member(self, replica_id: str) -> "Membership":
        """Returns a copy without a member."""
        kept = tuple(
            member for member in self.members if member.replica_id != replica_id
        )
        return self._replace(members=kept)


EMPTY = Membership("", ())
