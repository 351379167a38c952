"""The policies that are compared."""

from typing import NamedTuple


class Policy(NamedTuple):
    """What the nodes do.

    Attributes:
        name: Name in the figures.
        is_controlled: True for cranberrymux's own decisions.
        limit_is_slots: For the others: True for a fixed limit of the slots,
            False for all that the connections take.
        hop_retries: Retries of each hop, without a budget.
    """

    name: str
    is_controlled: bool
    limit_is_slots: bool = False
    hop_retries: int = 0


CONTROL = Policy("cranberrymux", True)
NONE = Policy("none", False)
FIXED_LIMIT = Policy("fixed-limit", False, limit_is_slots=True)
HOP_RETRIES = Policy(
    "per-hop-retries", False, limit_is_slots=True, hop_retries=2
)

BASELINES = (NONE, FIXED_LIMIT, HOP_RETRIES)
