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
        has_codel: For the others: True for a queue kept short by CoDel.
        has_credits: For the others: True if callers send under credits.
    """

    name: str
    is_controlled: bool
    limit_is_slots: bool = False
    hop_retries: int = 0
    has_codel: bool = False
    has_credits: bool = False


CONTROL = Policy("cranberrymux", True)
NONE = Policy("none", False)
FIXED_LIMIT = Policy("fixed-limit", False, limit_is_slots=True)
HOP_RETRIES = Policy(
    "per-hop-retries", False, limit_is_slots=True, hop_retries=2
)

CODEL = Policy("codel", False, limit_is_slots=True, has_codel=True)
CREDITS = CODEL._replace(name="credits", has_credits=True)

BASELINES = (NONE, FIXED_LIMIT, HOP_RETRIES, CODEL, CREDITS)
