"""A request for one slot of a backend server."""

from typing import NamedTuple


class Ticket(NamedTuple):
    """A request for one slot.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        rank: Order of starting; lower ranks start first.
        start_by_s: Monotonic seconds after which a start is of no use.
        deadline_s: Monotonic seconds at which the caller gives up.
        account: Name of the client account; empty for none.
        weight: Requests of its account that start for each one of another
            account, above 0.0.
    """

    ticket_id: int
    rank: float
    start_by_s: float
    deadline_s: float
    account: str = ""
    weight: float = 1.0
