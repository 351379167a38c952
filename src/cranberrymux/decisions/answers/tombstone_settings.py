"""Settings for the attempts that a callee's node remembers."""

from typing import NamedTuple


class TombstoneSettings(NamedTuple):
    """Retention times and maximum numbers of hand-overs and tombstones.

    Attributes:
        handed_age_s: Time for which a hand-over is remembered.
        maximum_handed: Maximum number of hand-overs; the oldest is evicted.
        refused_age_s: Time for which a tombstone is kept; must be longer than
            the longest delay with which a connection delivers an attempt.
        maximum_refused: Maximum number of tombstones; at this number further
            attempts are not vouched for.
    """

    handed_age_s: float = 120.0
    maximum_handed: int = 65536
    refused_age_s: float = 300.0
    maximum_refused: int = 16384
