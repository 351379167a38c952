"""Settings of the tombstones at a callee's node."""

from typing import NamedTuple


class TombstoneSettings(NamedTuple):
    """How much is remembered, and for how long.

    Attributes:
        handed_age_s: Time for which a hand-over is remembered.
        handed_maximum: Hand-overs remembered; older ones go first.
        refused_age_s: Time for which a tombstone stands; longer than a
            connection can deliver a call late.
        refused_maximum: Tombstones; beyond that nothing is vouched.
    """

    handed_age_s: float = 120.0
    handed_maximum: int = 65536
    refused_age_s: float = 300.0
    refused_maximum: int = 16384
