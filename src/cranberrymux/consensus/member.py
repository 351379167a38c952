"""One member of the cluster."""

from typing import NamedTuple


class Member(NamedTuple):
    """A replica as listed in the membership.

    Attributes:
        replica_id: `name@incarnation`. The incarnation is generated when the
            data folder is created, so that a replica that lost its disk, and
            with it its votes and entries, never returns under its old id.
        address: `ip:port` that the other members connect to; not interpreted
            by the consensus code.
        voter: True if it counts for quorums; False for a learner, which only
            receives the log.
    """

    replica_id: str
    address: str
    voter: bool

    @property
    def name(self) -> str:
        """Name of the instance, which all its incarnations share."""
        return self.replica_id.partition("@")[0]
