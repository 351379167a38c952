"""Allots work that fits to ranks in their order."""

from collections.abc import Mapping
from typing import TypeVar

# Part of the overall share that every rank keeps, so that none is starved.
MINIMUM_SHARE_RATIO = 0.2

_Rank = TypeVar("_Rank", int, tuple[int, int])


def allot(works: Mapping[_Rank, float], share: float) -> dict[_Rank, float]:
    """Returns the share of each rank that may start.

    Args:
        works: Work that each rank requests, above 0.0; lower ranks come first.
        share: Share of the sum that fits, 0.0 to 1.0.
    """
    minimum = MINIMUM_SHARE_RATIO * share
    remaining_work = (share - minimum) * sum(works.values())
    shares: dict[_Rank, float] = {}
    for rank in sorted(works):
        needed_work = (1.0 - minimum) * works[rank]
        fraction = min(1.0, max(0.0, remaining_work / needed_work))
        shares[rank] = minimum + (1.0 - minimum) * fraction
        remaining_work -= needed_work
    return shares
