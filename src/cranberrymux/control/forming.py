"""How a cluster is formed when no list of its instances is given."""

from typing import NamedTuple


class Forming(NamedTuple):
    """What an instance knows that finds the others by seeds.

    Control instances are then named after their IP numbers.

    Attributes:
        founder: Name of the instance that founds the cluster.
        is_first_start: True only while the whole system starts for the first
            time, with empty disks.
        minimum_voters: Voters below which no command is accepted, and below
            which a silent voter is not removed.
        silent_voter_s: A voter that was not heard for so long is removed.
        heartbeat_s: Time between a leader's messages to each member.
        lease_s: Least time without a leader before one stands for election.
        election_spread_s: Election timeouts lie evenly over this much more.
    """

    founder: str
    is_first_start: bool
    minimum_voters: int
    silent_voter_s: float
    heartbeat_s: float
    lease_s: float
    election_spread_s: float
