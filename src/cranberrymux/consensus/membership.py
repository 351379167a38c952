"""The set of replicas that hold the log."""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrymux.consensus import member


class Membership(NamedTuple):
    """Who receives the log and whose disks count.

    Attributes:
        cluster_id: Minted once when the cluster is founded; empty for a
            replica that has never received the log.
        members: Voters and learners.
    """

    cluster_id: str
    members: tuple[member.Member, ...]

    @property
    def voters(self) -> frozenset[str]:
        """Replica ids whose votes and disks count."""
        return frozenset(one.replica_id for one in self.members if one.voter)

    @property
    def quorum(self) -> int:
        """Count of voters that decide."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, replica_ids: Iterable[str]) -> bool:
        """True if the voters among these replicas decide."""
        voters = self.voters
        if not voters:
            return False
        return len(voters.intersection(replica_ids)) >= self.quorum

    def find(self, replica_id: str) -> member.Member | None:
        """The member with this id, or None."""
        for one in self.members:
            if one.replica_id == replica_id:
                return one
        return None

    def with_member(self, added: member.Member) -> "Membership":
        """This membership with a member added or replaced by id."""
        kept = tuple(
            one for one in self.members if one.replica_id != added.replica_id
        )
        return self._replace(members=(*kept, added))

    def without(self, replica_id: str) -> "Membership":
        """This membership without a member."""
        kept = tuple(
            one for one in self.members if one.replica_id != replica_id
        )
        return self._replace(members=kept)


EMPTY = Membership("", ())
