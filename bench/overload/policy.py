"""Policies for admission, routing and retries to compare."""

from typing import NamedTuple


class Policy(NamedTuple):
    """Which mechanisms nodes and clients use.

    Attributes:
        name: Name in the figures.
        is_cranberrymux: True for the decisions of cranberrymux, False for a
            baseline. The other attributes apply to baselines only.
        limit_is_slots: True if endpoints admit as many calls as they have
            slots and callers balance by calls in flight; False if endpoints
            admit as many as they have connections and callers balance by
            reported load.
        hop_retries: Maximum number of retries of each call, whatever its
            depth.
        has_codel: True if endpoints queue calls and CoDel limits the wait.
        has_credits: True if callers send only with credits of an endpoint.
    """

    name: str
    is_cranberrymux: bool
    limit_is_slots: bool = False
    hop_retries: int = 0
    has_codel: bool = False
    has_credits: bool = False


CRANBERRYMUX = Policy("cranberrymux", True)
NO_CONTROL = Policy("none", False)
FIXED_LIMIT = Policy("fixed-limit", False, limit_is_slots=True)
HOP_RETRIES = Policy(
    "per-hop-retries", False, limit_is_slots=True, hop_retries=2
)

CODEL = Policy("codel", False, limit_is_slots=True, has_codel=True)
CREDITS = CODEL._replace(name="credits", has_credits=True)

BASELINES = (NO_CONTROL, FIXED_LIMIT, HOP_RETRIES, CODEL, CREDITS)
