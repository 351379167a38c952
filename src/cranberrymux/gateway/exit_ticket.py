"""Number and times of a request at the hop port."""

from typing import NamedTuple


class ExitTicket(NamedTuple):
    """Number and times of a request at the hop port.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        start_by_s: Monotonic seconds after which a start is of no use.
        deadline_s: Monotonic seconds at which its caller gives up.
    """

    ticket_id: int
    start_by_s: float
    deadline_s: float
