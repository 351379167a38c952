"""Which running request a call belongs to.

A backend server's calls name no parent, but they expire when their parent
does: so a call belongs to the running request whose deadline is the next one
after its own.
"""

import bisect

# A call's deadline is rounded down and measured a little after its parent's.
EARLIEST_S = 0.004
LATEST_S = 0.0015
SHARE_WEIGHT = 0.05  # Weight of one request in the share that is matched.
CALLED_SHARE = 0.5  # Routes with a higher share are called, not begun.


class Lineage:
    """Requests that run here, by the deadline that they were given."""

    def __init__(self) -> None:
        """Starts with none."""
        self._deadlines: list[tuple[float, int]] = []
        self._deadline_of: dict[int, float] = {}
        self._matched_share: dict[str, float] = {}

    def begin(self, ticket_id: int, deadline_s: float) -> None:
        """Takes note of a request that begins to run."""
        self._deadline_of[ticket_id] = deadline_s
        bisect.insort(self._deadlines, (deadline_s, ticket_id))

    def end(self, ticket_id: int) -> None:
        """Takes note that it ended."""
        deadline_s = self._deadline_of.pop(ticket_id, None)
        if deadline_s is None:
            return
        place = bisect.bisect_left(self._deadlines, (deadline_s, ticket_id))
        del self._deadlines[place]

    def find_parent(self, route: str, deadline_s: float) -> int | None:
        """Returns the running request that made a call; None for no call.

        Args:
            route: Name of the call's route. Where most requests of a route
                match nothing, the few that do so match by chance.
            deadline_s: When the call expires.
        """
        found = self._nearest(deadline_s)
        known = self._matched_share.get(route)
        matched = 0.0 if found is None else 1.0
        if known is None:
            known = matched
        known += SHARE_WEIGHT * (matched - known)
        self._matched_share[route] = known
        return found if known > CALLED_SHARE else None

    def _nearest(self, deadline_s: float) -> int | None:
        place = bisect.bisect_left(self._deadlines, (deadline_s - LATEST_S, 0))
        if place == len(self._deadlines):
            return None
        found_s, ticket_id = self._deadlines[place]
        return ticket_id if found_s <= deadline_s + EARLIEST_S else None
