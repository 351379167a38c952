"""What admission knows of a call that asks for a slot."""

from typing import NamedTuple


class Ticket(NamedTuple):
    """A request for one slot.

    Attributes:
        ticket_id: Unique among the calls that are queued or running.
        priority: `class_rank * 128 + shed_hash`; 0 is shed last.
        class_rank: Rank of the request's class; 0 is shed last.
        deadline_s: Monotonic seconds at which the caller stops waiting.
        is_suspect: True if the call must not run beside another suspect.
        is_exclusive: True if the call must not run beside any other call.
    """

    ticket_id: str
    priority: int
    class_rank: int
    deadline_s: float
    is_suspect: bool = False
    is_exclusive: bool = False
