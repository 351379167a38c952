"""Settings of a cluster whose instances find one another by seeds."""

from typing import NamedTuple


class FormationSettings(NamedTuple):
    """Settings for founding and keeping a cluster without a fixed member list.

    Each control instance is then named after its IP address.

    Attributes:
        founder: Name of the instance that founds the cluster.
        is_first_start: True only while the whole system starts for the first
            time, with empty disks.
        minimum_voters: Number of voters below which no command is accepted,
            and at or below which no voter is removed.
        silent_voter_s: Time without a message from a member after which the
            leader removes it, seconds.
        surplus_silent_s: The same for one of an even number of voters, without
            which the quorum is smaller.
        leave_limit_s: Longest time for which an instance that ends waits until
            the others have removed it from the members, seconds.
        heartbeat_s: Interval of the leader's heartbeats to each member,
            seconds.
        lease_s: Shortest time without a leader's message before a replica
            starts an election, seconds.
        election_spread_s: Width of the range above `lease_s` in which election
            timeouts are uniformly distributed, seconds.
    """

    founder: str
    is_first_start: bool
    minimum_voters: int
    silent_voter_s: float
    surplus_silent_s: float
    leave_limit_s: float
    heartbeat_s: float
    lease_s: float
    election_spread_s: float
