"""Requests at the root of call trees that are admitted alike."""

import enum
from typing import NamedTuple

from cranberrymux.decisions.pressure import fair_shares


class AttemptTiming(enum.IntEnum):
    """Order of requests of equal priority; lower values first.

    Attributes:
        RETRY_IN_TIME: A retry that can still have its full value.
        FIRST: A first attempt.
        RETRY_LATE: A retry that is too late for its full value.
    """

    RETRY_IN_TIME = 0
    FIRST = 1
    RETRY_LATE = 2


class TrafficClass(NamedTuple):
    """Requests that are admitted alike.

    Attributes:
        priority: Rank of the request; 0 is the most important.
        timing: Order among requests of equal priority.
        route: Name of the route.
        account: Name of the client account; empty for none.
    """

    priority: int
    timing: AttemptTiming
    route: str
    account: str = ""

    @property
    def key(self) -> fair_shares.AccountKey:
        """Whose requests they are; without an account, those of the route."""
        return make_key(self.priority, self.account, self.route)

    def __deepcopy__(self, memo: object) -> "TrafficClass":
        """Returns itself, since it cannot change."""
        return self


def make_key(priority: int, account: str, route: str) -> fair_shares.AccountKey:
    """Returns the key under which the requests of a tree count.

    Args:
        priority: Priority of the tree.
        account: Name of its client account; empty for none.
        route: Name of the route of its root; empty if it is not known.
    """
    return fair_shares.AccountKey(
        priority, account or (f"/{route}" if route else "")
    )
