"""A small queue with priorities, deadlines and removal by id."""

import bisect
import heapq
from typing import NamedTuple

from cranberrymux.decisions.admission import ticket as ticket_module


class QueuedTicket(NamedTuple):
    """A queued ticket; sorts by class, then by arrival.

    Attributes:
        class_rank: Rank of the class; 0 starts first.
        sequence: Number in order of arrival; unique.
        ticket: The queued ticket.
        arrived_s: Monotonic seconds at which it was queued.
        expires_s: Monotonic seconds from which it is refused.
    """

    class_rank: int
    sequence: int
    ticket: ticket_module.Ticket
    arrived_s: float
    expires_s: float


class TicketQueue:
    """Starts tickets by class and arrival, evicts them by priority.

    Within a class, starting in order of arrival keeps waits alike. Eviction
    by priority treats the calls of one request alike at every endpoint. The
    queue is short (about as many calls as there are slots), so sorted lists
    are faster than trees.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._ordered: list[QueuedTicket] = []
        self._by_priority: list[tuple[int, int, str]] = []
        self._by_id: dict[str, QueuedTicket] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Returns the number of queued tickets."""
        return len(self._ordered)

    @property
    def next_expiry_s(self) -> float | None:
        """Earliest expiry of any queued ticket; None if the queue is empty."""
        while self._expiries:
            expires_s, sequence, ticket_id = self._expiries[0]
            waiting = self._by_id.get(ticket_id)
            if waiting is not None and waiting.sequence == sequence:
                return expires_s
            heapq.heappop(self._expiries)
        return None

    @property
    def next_to_start(self) -> QueuedTicket | None:
        """The ticket that starts next; None if the queue is empty."""
        return self._ordered[0] if self._ordered else None

    @property
    def next_to_evict(self) -> QueuedTicket | None:
        """The ticket that is evicted first; None if the queue is empty."""
        if not self._by_priority:
            return None
        return self._by_id[self._by_priority[-1][2]]

    def count_ahead(self, class_rank: int) -> int:
        """Counts the tickets that would start before a new one of a class."""
        return bisect.bisect_left(self._ordered, (class_rank + 1,))

    def push(
        self, now_s: float, ticket: ticket_module.Ticket, expires_s: float
    ) -> None:
        """Queues a ticket until `expires_s`."""
        self._sequence += 1
        waiting = QueuedTicket(
            ticket.class_rank, self._sequence, ticket, now_s, expires_s
        )
        bisect.insort(self._ordered, waiting)
        bisect.insort(
            self._by_priority,
            (ticket.priority, self._sequence, ticket.ticket_id),
        )
        self._by_id[ticket.ticket_id] = waiting
        heapq.heappush(
            self._expiries, (expires_s, self._sequence, ticket.ticket_id)
        )

    def remove(self, ticket_id: str) -> QueuedTicket | None:
        """Removes and returns a ticket; None if it is not queued."""
        waiting = self._by_id.pop(ticket_id, None)
        if waiting is None:
            return None
        del self._ordered[bisect.bisect_left(self._ordered, waiting)]
        key = (waiting.ticket.priority, waiting.sequence)
        del self._by_priority[bisect.bisect_left(self._by_priority, key)]
        if not self._ordered:
            self._expiries.clear()
        return waiting

    def pop_expired(self, now_s: float) -> QueuedTicket | None:
        """Removes and returns one expired ticket; None if there is none."""
        expires_s = self.next_expiry_s
        if expires_s is None or expires_s > now_s:
            return None
        return self.remove(self._expiries[0][2])
