"""The endpoints of a service that a call with a given place may go to."""

from typing import NamedTuple

from cranberrymux.decisions.routing import tracked_endpoint


class CandidatePool(NamedTuple):
    """Candidates grouped by distance, cached until a stated time.

    Attributes:
        tiers: Three groups of candidates: the own availability zone, other
            zones of the own region, other regions.
        matched_count: Number of endpoints that match the place selector, in any
            state but gone.
        valid_until_s: Monotonic seconds at which the first ejection or
            draining notice ends, so that the pool must be rebuilt.
        warm_s: Monotonic seconds from which no candidate is in slow start.
    """

    tiers: tuple[tuple[tracked_endpoint.TrackedEndpoint, ...], ...]
    matched_count: int
    valid_until_s: float
    warm_s: float
