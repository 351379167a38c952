"""Max-min fair division of a capacity by a common level."""

from collections.abc import Iterable
import math
from typing import NamedTuple


class Demand(NamedTuple):
    """Equal demands of a number of accounts.

    Attributes:
        amount: What each of them requests.
        accounts: Number of accounts; not whole for an estimate.
    """

    amount: float
    accounts: float = 1.0


def find(
    demands: Iterable[Demand], capacity: float, minimum_share: float
) -> float:
    """Returns the level at which grants add up to the capacity.

    The grant of an account is the level, but no more than it requests and no
    less than `minimum_share` of that.

    Args:
        demands: What the accounts request.
        capacity: Sum of all grants, in the unit of the demands.
        minimum_share: Share of its demand that each account gets at least, 0.0
            to 1.0.

    Returns:
        The level; infinity if every demand can be granted.
    """
    slopes: list[tuple[float, float]] = []
    granted = 0.0
    for amount, count in demands:
        granted += minimum_share * amount * count
        slopes.append((minimum_share * amount, count))
        slopes.append((amount, -count))
    slopes.sort()
    level = 0.0
    slope = 0.0
    for limit, change in slopes:
        added = slope * (limit - level)
        if slope > 0.0 and granted + added > capacity:
            return level + max(capacity - granted, 0.0) / slope
        granted += added
        level = limit
        slope += change
    return math.inf


def share_at(level: float, amount: float, minimum_share: float) -> float:
    """Returns the granted share of a demand, 0.0 to 1.0."""
    if amount <= level:
        return 1.0
    return max(minimum_share, level / amount)
