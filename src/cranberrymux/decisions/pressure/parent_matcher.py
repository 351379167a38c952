"""Which running request made a call.

The id of a call may extend the id of its parent. Where ids are opaque, the
parent is found by deadline: a call expires together with its parent unless
it has a shorter deadline of its own.
"""

import bisect
from typing import NamedTuple

ID_SEPARATOR = b"."
# How far a call's deadline may be from its parent's: earlier because it is
# rounded down, later because the call takes time to arrive.
MAXIMUM_EARLY_S = 0.0015
MAXIMUM_LATE_S = 0.002
# The number of deadlines this near gives the probability of a chance match.
CHANCE_RANGE_S = 0.05
# Matches of a route above those expected by chance, as a share of its requests:
# weight of one request, and value from which the route is taken for called.
EXCESS_WEIGHT = 0.05
MINIMUM_EXCESS = 0.12


class ParentMatch(NamedTuple):
    """Whether a request is a call, and of which running request.

    Attributes:
        is_call: True if a running request made it; False if it is the root of
            a tree.
        parent: Ticket id of the running request; None for a root, or if the
            parent is not known.
    """

    is_call: bool
    parent: int | None


ROOT = ParentMatch(False, None)


class ParentMatcher:
    """Running requests, indexed by id and by deadline."""

    def __init__(self) -> None:
        """Starts without running requests."""
        self._deadlines: list[tuple[float, int]] = []
        self._running: dict[int, tuple[bytes, float]] = {}
        self._ticket_ids: dict[bytes, int] = {}
        self._excess: dict[str, float] = {}

    def add(self, ticket_id: int, request_id: bytes, deadline_s: float) -> None:
        """Adds a request that starts to run."""
        self._running[ticket_id] = (request_id, deadline_s)
        self._ticket_ids[request_id] = ticket_id
        bisect.insort(self._deadlines, (deadline_s, ticket_id))

    def remove(self, ticket_id: int) -> None:
        """Removes a request that has ended; ignores unknown ones."""
        removed = self._running.pop(ticket_id, None)
        if removed is None:
            return
        request_id, deadline_s = removed
        if self._ticket_ids.get(request_id) == ticket_id:
            del self._ticket_ids[request_id]
        index = bisect.bisect_left(self._deadlines, (deadline_s, ticket_id))
        del self._deadlines[index]

    def match(
        self, route: str, request_id: bytes, deadline_s: float
    ) -> ParentMatch:
        """Tells a call of a running request from the root of a tree.

        Args:
            route: Name of its route. Unless deadlines of the route match more
                often than by chance, its requests are taken for roots.
            request_id: Id of the request.
            deadline_s: Monotonic seconds at which it expires.
        """
        parent_id = request_id.rpartition(ID_SEPARATOR)[0]
        parent = self._ticket_ids.get(parent_id) if parent_id else None
        if parent is not None:
            return ParentMatch(True, parent)
        nearest, chance = self._match_deadline(deadline_s)
        matched = 0.0 if nearest is None else 1.0
        excess = self._excess.get(route, matched - chance)
        excess += EXCESS_WEIGHT * (matched - chance - excess)
        self._excess[route] = excess
        return ParentMatch(True, nearest) if excess > MINIMUM_EXCESS else ROOT

    def _match_deadline(self, deadline_s: float) -> tuple[int | None, float]:
        """Matches a deadline with those of the running requests.

        Returns:
            The ticket id of the nearest match, or None, and the probability, at
            most 1.0, of a match by chance.
        """
        first = self._find_index(deadline_s - CHANCE_RANGE_S)
        last = self._find_index(deadline_s + CHANCE_RANGE_S)
        chance = (
            (last - first)
            * (MAXIMUM_EARLY_S + MAXIMUM_LATE_S)
            / (2 * CHANCE_RANGE_S)
        )
        nearest = None
        nearest_s = MAXIMUM_EARLY_S + MAXIMUM_LATE_S
        for parent_s, ticket_id in self._deadlines[first:last]:
            late_s = deadline_s - parent_s
            if (
                -MAXIMUM_EARLY_S <= late_s <= MAXIMUM_LATE_S
                and abs(late_s) < nearest_s
            ):
                nearest = ticket_id
                nearest_s = abs(late_s)
        return nearest, min(chance, 1.0)

    def _find_index(self, deadline_s: float) -> int:
        return bisect.bisect_left(self._deadlines, (deadline_s, 0))
