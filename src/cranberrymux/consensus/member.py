"""One member of the replicated log."""

from typing import NamedTuple


class Member(NamedTuple):
    """A replica as the membership lists it.

    Attributes:
        replica_id: `name@incarnation`. The incarnation is minted when the
            data folder is created, so a lost disk never keeps its identity.
        address: Where its peers reach it, `ip:port`; opaque to the log.
        voter: False for a learner, which receives the log and never counts.
    """

    replica_id: str
    address: str
    voter: bool

    @property
    def name(self) -> str:
        """The instance's name, the same over all its incarnations."""
        return self.replica_id.partition("@")[0]
