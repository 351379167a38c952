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
    """

    founder: str
    is_first_start: bool
    minimum_voters: int
    silent_voter_s: float
