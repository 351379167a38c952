"""Which running request a call belongs to.

A call's id may extend the id of the request that made it. Where ids are
opaque, a call is known by its deadline: it expires when its parent does,
unless it has a shorter one of its own.
"""

import bisect
from typing import NamedTuple

ID_SEPARATOR = b"."
# A call's deadline is rounded down, and its way takes a little time.
EARLIEST_S = 0.0015
LATEST_S = 0.002
NEARBY_S = 0.05  # Deadlines so near tell how often one matches by chance.
EXCESS_WEIGHT = 0.05  # Weight of one request in the excess of a route.
CALLED_EXCESS = 0.12  # Matches above chance, from which a route is called.


class Descent(NamedTuple):
    """Where a request comes from.

    Attributes:
        is_call: True if a running request made it; False if it begins here.
        parent: The running request; None if it is not known which.
    """

    is_call: bool
    parent: int | None


ROOT = Descent(False, None)


class Lineage:
    """Requests that run here, by their ids and deadlines."""

    def __init__(self) -> None:
        """Starts with none."""
        self._deadlines: list[tuple[float, int]] = []
        self._running: dict[int, tuple[bytes, float]] = {}
        self._tickets: dict[bytes, int] = {}
        self._excess: dict[str, float] = {}

    def begin(
        self, ticket_id: int, request_id: bytes, deadline_s: float
    ) -> None:
        """Takes note of a request that begins to run."""
        self._running[ticket_id] = (request_id, deadline_s)
        self._tickets[request_id] = ticket_id
        bisect.insort(self._deadlines, (deadline_s, ticket_id))

    def end(self, ticket_id: int) -> None:
        """Takes note that it ended."""
        found = self._running.pop(ticket_id, None)
        if found is None:
            return
        request_id, deadline_s = found
        if self._tickets.get(request_id) == ticket_id:
            del self._tickets[request_id]
        place = bisect.bisect_left(self._deadlines, (deadline_s, ticket_id))
        del self._deadlines[place]

    def trace(
        self, route: str, request_id: bytes, deadline_s: float
    ) -> Descent:
        """Tells a call of a running request from one that begins here.

        Args:
            route: Name of its route. A route that matches deadlines no more
                often than by chance is not called from here.
            request_id: Its id.
            deadline_s: When it expires.
        """
        parent_id = request_id.rpartition(ID_SEPARATOR)[0]
        named = self._tickets.get(parent_id) if parent_id else None
        if named is not None:
            return Descent(True, named)
        found, chance = self._match(deadline_s)
        matched = 0.0 if found is None else 1.0
        excess = self._excess.get(route, matched - chance)
        excess += EXCESS_WEIGHT * (matched - chance - excess)
        self._excess[route] = excess
        return Descent(True, found) if excess > CALLED_EXCESS else ROOT

    def _match(self, deadline_s: float) -> tuple[int | None, float]:
        """Returns the nearest request in the window, and how likely one is."""
        first = self._place(deadline_s - NEARBY_S)
        last = self._place(deadline_s + NEARBY_S)
        chance = (last - first) * (EARLIEST_S + LATEST_S) / (2 * NEARBY_S)
        best = None
        least_s = EARLIEST_S + LATEST_S
        for parent_s, ticket_id in self._deadlines[first:last]:
            late_s = deadline_s - parent_s
            if -EARLIEST_S <= late_s <= LATEST_S and abs(late_s) < least_s:
                best = ticket_id
                least_s = abs(late_s)
        return best, min(chance, 1.0)

    def _place(self, deadline_s: float) -> int:
        return bisect.bisect_left(self._deadlines, (deadline_s, 0))
