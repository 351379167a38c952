"""A small queue in order of priority with deadlines."""

import bisect
import heapq
from typing import NamedTuple

from cranberrymux.decisions.admission import ticket as ticket_module


class Waiting(NamedTuple):
    """One queued ticket; sorts by priority, then by arrival.

    Attributes:
        priority: Order of starting; 0 starts first.
        sequence: Order of arrival.
        ticket: The ticket itself.
        arrived_s: When it was queued.
        expires_s: When it is refused at the latest.
    """

    priority: int
    sequence: int
    ticket: ticket_module.Ticket
    arrived_s: float
    expires_s: float


class TicketQueue:
    """Queued tickets, the one shed last in front.

    The queue is short (a slot's worth of calls or so), so that a sorted list
    is faster than a tree.
    """

    def __init__(self) -> None:
        """Makes an empty queue."""
        self._ordered: list[Waiting] = []
        self._by_id: dict[str, Waiting] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Number of queued tickets."""
        return len(self._ordered)

    @property
    def next_expiry_s(self) -> float | None:
        """When the first ticket expires; None if the queue is empty."""
        while self._expiries:
            expires_s, sequence, ticket_id = self._expiries[0]
            waiting = self._by_id.get(ticket_id)
            if waiting is not None and waiting.sequence == sequence:
                return expires_s
            heapq.heappop(self._expiries)
        return None

    @property
    def first(self) -> Waiting | None:
        """The ticket that starts next."""
        return self._ordered[0] if self._ordered else None

    @property
    def last(self) -> Waiting | None:
        """The ticket that is shed first."""
        return self._ordered[-1] if self._ordered else None

    def count_ahead(self, priority: int) -> int:
        """Counts the tickets that would start before a new one."""
        return bisect.bisect_left(self._ordered, (priority + 1,))

    def push(
        self, now_s: float, ticket: ticket_module.Ticket, expires_s: float
    ) -> None:
        """Queues a ticket until `expires_s`."""
        self._sequence += 1
        waiting = Waiting(
            ticket.priority, self._sequence, ticket, now_s, expires_s
        )
        bisect.insort(self._ordered, waiting)
        self._by_id[ticket.ticket_id] = waiting
        heapq.heappush(
            self._expiries, (expires_s, self._sequence, ticket.ticket_id)
        )

    def remove(self, ticket_id: str) -> Waiting | None:
        """Takes a ticket out; None if it is not queued."""
        waiting = self._by_id.pop(ticket_id, None)
        if waiting is None:
            return None
        del self._ordered[bisect.bisect_left(self._ordered, waiting)]
        if not self._ordered:
            self._expiries.clear()
        return waiting

    def pop_expired(self, now_s: float) -> Waiting | None:
        """Takes out one ticket whose time is over; None if there is none."""
        expires_s = self.next_expiry_s
        if expires_s is None or expires_s > now_s:
            return None
        return self.remove(self._expiries[0][2])
