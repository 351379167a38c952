"""The endpoints of a service that match a place and take new work."""

from typing import NamedTuple

from cranberrymux.decisions.routing import learned_endpoint


class CandidatePool(NamedTuple):
    """Candidates in tiers of distance, good until a stated time.

    Attributes:
        tiers: Endpoints of the own availability zone, of the others in the
            own region, and of other regions.
        matched: Endpoints that match the place, in any state but gone.
        valid_until_s: When an ejection or a word of leaving ends, and the pool
            must be made anew.
        warm_s: When every candidate is warm.
    """

    tiers: tuple[tuple[learned_endpoint.LearnedEndpoint, ...], ...]
    matched: int
    valid_until_s: float
    warm_s: float
