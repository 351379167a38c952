"""The slots of one backend server and the short queue in front of them.

Guards against a backend server that stops answering because many callers
together send more than it can queue. Nothing is sent beyond its slots, the
most important request starts first, and a request that cannot start in time
is refused while its caller can still try another endpoint.
"""

import enum
import heapq
import itertools
from typing import NamedTuple

HOLD_TIME_WEIGHT = 0.05  # Weight of one request in the mean hold time.
QUEUE_PER_SLOT = 1.5


class SlotVerdict(enum.Enum):
    """Decision on a request that was offered.

    Attributes:
        START: The request holds a slot now.
        WAIT: The request is queued.
        FULL: No slot will be free in time, or the queue is full.
        TOO_LATE: The deadline has passed.
    """

    START = "start"
    WAIT = "wait"
    FULL = "full"
    TOO_LATE = "too-late"


class Ticket(NamedTuple):
    """A request for one slot.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        rank: Order of starting; lower ranks start first.
        start_by_s: Monotonic seconds after which a start is of no use.
        deadline_s: Monotonic seconds at which the caller gives up.
    """

    ticket_id: int
    rank: float
    start_by_s: float
    deadline_s: float


class SlotScheduler:
    """Assigns the slots of one backend server by rank and deadline."""

    def __init__(self, slots: int) -> None:
        """Starts idle with at least one slot."""
        self._slots = max(slots, 1)
        self._running: dict[int, float] = {}
        self._queue: list[tuple[float, float, int, Ticket]] = []
        self._waiting: dict[int, Ticket] = {}
        self._sequence = itertools.count()
        self._evicted: list[int] = []
        self._mean_hold_s = 0.0

    @property
    def slots(self) -> int:
        """Number of requests that may run at once, at least 1."""
        return self._slots

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @property
    def mean_hold_s(self) -> float:
        """Mean time a request holds its slot, in seconds; 0.0 at first."""
        return self._mean_hold_s

    def set_slots(self, slots: int) -> None:
        """Applies the number of slots that the backend server announces."""
        self._slots = max(slots, 1)

    def offer(self, now_s: float, ticket: Ticket) -> SlotVerdict:
        """Starts, queues or refuses a new request."""
        if ticket.deadline_s <= now_s:
            return SlotVerdict.TOO_LATE
        if len(self._running) < self._slots and not self._waiting:
            self._running[ticket.ticket_id] = now_s
            return SlotVerdict.START
        if now_s + self._estimate_wait_s(ticket.rank) > ticket.start_by_s:
            return SlotVerdict.FULL
        is_full = len(self._waiting) >= QUEUE_PER_SLOT * self._slots
        if is_full and not self._make_room(ticket.rank):
            return SlotVerdict.FULL
        self._waiting[ticket.ticket_id] = ticket
        heapq.heappush(
            self._queue,
            (ticket.rank, ticket.deadline_s, next(self._sequence), ticket),
        )
        return SlotVerdict.WAIT

    def cancel(self, ticket_id: int) -> bool:
        """Removes a waiting request; False if it is not waiting."""
        return self._waiting.pop(ticket_id, None) is not None

    def finish(self, now_s: float, ticket_id: int, is_measured: bool) -> float:
        """Frees the slot of a running request.

        Args:
            now_s: Monotonic seconds.
            ticket_id: Number of the request; ignored if it is not running.
            is_measured: True if it ran to its end, so that its time counts in
                the mean.

        Returns:
            Seconds for which it held the slot; 0.0 if it was not running.
        """
        started_s = self._running.pop(ticket_id, None)
        if started_s is None:
            return 0.0
        hold_s = now_s - started_s
        if is_measured:
            if not self._mean_hold_s:
                self._mean_hold_s = hold_s
            self._mean_hold_s += HOLD_TIME_WEIGHT * (hold_s - self._mean_hold_s)
        return hold_s

    def start_waiting(self, now_s: float) -> list[int]:
        """Assigns free slots and returns the requests that start now."""
        started = []
        while self._queue and len(self._running) < self._slots:
            ticket = heapq.heappop(self._queue)[3]
            if ticket.start_by_s < now_s:
                continue  # `pop_expired` returns it.
            if self._waiting.pop(ticket.ticket_id, None) is None:
                continue
            self._running[ticket.ticket_id] = now_s
            started.append(ticket.ticket_id)
        return started

    def pop_expired(self, now_s: float) -> list[int]:
        """Removes and returns the requests that can no longer start in time."""
        expired = [
            ticket.ticket_id
            for ticket in self._waiting.values()
            if ticket.start_by_s < now_s
        ]
        for ticket_id in expired:
            del self._waiting[ticket_id]
        return expired

    def pop_evicted(self) -> list[int]:
        """Returns the requests evicted since the last time."""
        evicted = self._evicted
        self._evicted = []
        return evicted

    def pop_all(self) -> list[int]:
        """Removes and returns every waiting request."""
        waiting = list(self._waiting)
        self._waiting.clear()
        self._queue.clear()
        return waiting

    def _make_room(self, rank: float) -> bool:
        """Evicts the least important request if it ranks behind this one."""
        last = max(
            self._waiting.values(),
            key=lambda ticket: (ticket.rank, ticket.deadline_s),
        )
        if last.rank <= rank:
            return False
        del self._waiting[last.ticket_id]
        self._evicted.append(last.ticket_id)
        return True

    def _estimate_wait_s(self, rank: float) -> float:
        ahead = sum(
            1 for ticket in self._waiting.values() if ticket.rank <= rank
        )
        return (ahead + 1) * self._mean_hold_s / self._slots
