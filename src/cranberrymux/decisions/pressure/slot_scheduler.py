"""The slots of one backend server and the short queue in front of them.

Guards against a backend server that stops answering because many callers
together send more than it can queue. Nothing is sent beyond its slots and its
rate limit, the most important request starts first, and a request that cannot
start in time is refused while its caller can still try another endpoint.
"""

import enum
import math

from cranberrymux.decisions.pressure import account_queue
from cranberrymux.decisions.pressure import slot_ticket
from cranberrymux.decisions.rate_limits import token_bucket

HOLD_TIME_WEIGHT = 0.05  # Weight of one request in the mean hold time.
QUEUE_PER_SLOT = 1.5
# Longest wait for a rate limit. Other endpoints may have room at once.
MAXIMUM_TOKEN_WAIT_S = 0.5
# Time whose requests may be open under a rate limit. It bounds the number that
# a backend server which has stalled gets at once afterwards.
MAXIMUM_OPEN_S = 2.0
Ticket = slot_ticket.Ticket


class SlotVerdict(enum.Enum):
    """Decision on a request that was offered.

    Attributes:
        START: The request holds a slot now.
        WAIT: The request is queued.
        FULL: No slot will be free in time, or the queue is full.
        LIMITED: The rate limit does not let it start in time.
        TOO_LATE: The deadline has passed.
    """

    START = "start"
    WAIT = "wait"
    FULL = "full"
    LIMITED = "limited"
    TOO_LATE = "too-late"


class SlotScheduler:
    """Assigns the slots of one backend server by rank, account and deadline."""

    def __init__(self, slots: int) -> None:
        """Starts idle with at least one slot."""
        self._slots = max(slots, 1)
        self._bucket: token_bucket.TokenBucket | None = None
        self._running: dict[int, float] = {}
        self._queue = account_queue.AccountQueue()
        self._waiting: dict[int, Ticket] = {}
        self._evicted: list[int] = []
        self._mean_hold_s = 0.0
        self._is_paused = False

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
    def requests(self) -> int:
        """Number of requests that hold a slot or wait for one."""
        return len(self._running) + len(self._waiting)

    @property
    def mean_hold_s(self) -> float:
        """Mean time a request holds its slot, in seconds; 0.0 at first."""
        return self._mean_hold_s

    @property
    def is_rate_limited(self) -> bool:
        """True while the backend server names a rate limit."""
        return self._bucket is not None

    def set_slots(self, slots: int) -> None:
        """Applies the number of slots that the backend server announces."""
        self._slots = max(slots, 1)

    def set_paused(self, is_paused: bool) -> None:
        """Keeps requests waiting, or lets them start again."""
        self._is_paused = is_paused

    def start_alone(self, now_s: float, ticket_id: int) -> None:
        """Starts a request while others are kept waiting."""
        self._start(now_s, ticket_id)

    def set_rate_limit(self, now_s: float, per_s: float | None) -> None:
        """Applies the limit that the backend server names.

        Args:
            now_s: Monotonic seconds.
            per_s: Requests a second; None for no limit.
        """
        if per_s is None:
            self._bucket = None
        elif self._bucket is not None:
            self._bucket.set_rate(now_s, per_s)
        else:
            self._bucket = token_bucket.TokenBucket(now_s, per_s)
            self._waiting = {
                ticket_id: _wait_for_token_at_most(ticket, now_s)
                for ticket_id, ticket in self._waiting.items()
            }

    def get_token_wait_s(self, now_s: float) -> float:
        """Returns the seconds until the rate limit lets one more start."""
        if self._bucket is None:
            return 0.0
        return self._bucket.wait_s(now_s, self.waiting + 1)

    def offer(self, now_s: float, ticket: Ticket) -> SlotVerdict:
        """Starts, queues or refuses a new request."""
        if ticket.deadline_s <= now_s:
            return SlotVerdict.TOO_LATE
        if self._can_start(now_s) and not self._waiting:
            self._start(now_s, ticket.ticket_id)
            return SlotVerdict.START
        ahead = self._queue.count_ahead(self._waiting.values(), ticket)
        if self._bucket is not None:
            ticket = _wait_for_token_at_most(ticket, now_s)
            if now_s + self._bucket.wait_s(now_s, ahead + 1) > (
                ticket.start_by_s
            ):
                return SlotVerdict.LIMITED
        wait_s = (ahead + 1) * self._mean_hold_s / self._usable_slots
        if now_s + wait_s > ticket.start_by_s:
            return SlotVerdict.FULL
        is_full = len(self._waiting) >= QUEUE_PER_SLOT * self._slots
        if is_full and not self._make_room(ticket):
            return SlotVerdict.FULL
        self._waiting[ticket.ticket_id] = ticket
        self._queue.push(ticket)
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
        queue = self._queue
        while queue.order and self._can_start(now_s):
            ticket_id = queue.pop()
            ticket = self._waiting.get(ticket_id)
            if ticket is None or ticket.start_by_s < now_s:
                continue  # `pop_expired` returns it if it is still there.
            del self._waiting[ticket_id]
            queue.charge(ticket.rank, ticket.account)
            self._start(now_s, ticket_id)
            started.append(ticket_id)
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

    def _make_room(self, ticket: Ticket) -> bool:
        """Evicts a waiting request; False if the new one is to be refused."""
        last = self._queue.find_last(self._waiting.values(), ticket)
        if last is ticket:
            return False
        del self._waiting[last.ticket_id]
        self._evicted.append(last.ticket_id)
        return True

    @property
    def _usable_slots(self) -> int:
        if self._bucket is None:
            return self._slots
        return min(self._slots, math.ceil(MAXIMUM_OPEN_S * self._bucket.per_s))

    def _can_start(self, now_s: float) -> bool:
        if self._is_paused or len(self._running) >= self._slots:
            return False
        return self._bucket is None or (
            len(self._running) < self._usable_slots
            and self._bucket.has_token(now_s)
        )

    def _start(self, now_s: float, ticket_id: int) -> None:
        self._running[ticket_id] = now_s
        if self._bucket is not None:
            self._bucket.take(now_s)


def _wait_for_token_at_most(ticket: Ticket, now_s: float) -> Ticket:
    """Returns the ticket with the wait that a rate limit allows."""
    start_by_s = min(ticket.start_by_s, now_s + MAXIMUM_TOKEN_WAIT_S)
    return ticket._replace(start_by_s=start_by_s)
