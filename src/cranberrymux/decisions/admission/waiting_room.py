"""The calls of one endpoint that wait for a slot."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import load_meter
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import ticket_queue
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context

# Times longer and more calls may wait whose class is not being shed.
ABOVE_FACTOR = 2
_Reason = refusal_reason.RefusalReason
_SHED_HASHES = request_context.SHED_HASHES


class WaitingRoom:
    """A bounded queue that holds only what can meet its deadline.

    What it gives up, for want of room or of time, is kept with the reason
    until `pop_refused`.
    """

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        meter: load_meter.LoadMeter,
    ) -> None:
        """Starts empty; the bound follows what the meter learns."""
        self._settings = settings
        self._meter = meter
        self._queue = ticket_queue.TicketQueue()
        self._refused: list[tuple[str, refusal_reason.RefusalReason]] = []

    def __len__(self) -> int:
        """Number of calls that wait."""
        return len(self._queue)

    @property
    def bound(self) -> int:
        """Most calls that may wait."""
        bound = self._settings.queue_per_slot * self._meter.limit
        if self._meter.capacity_per_s:
            served = self._settings.maximum_wait_s * self._meter.capacity_per_s
            bound = min(bound, served)
        return max(int(bound), self._settings.minimum_queue)

    @property
    def has_refused(self) -> bool:
        """True if `pop_refused` has something to tell."""
        return bool(self._refused)

    @property
    def next_expiry_s(self) -> float | None:
        """When the first call expires; None if none waits."""
        return self._queue.next_expiry_s

    def get_head_wait_s(self, now_s: float) -> float:
        """Returns how long the call that starts next has waited."""
        first = self._queue.first
        return 0.0 if first is None else now_s - first.arrived_s

    def enter(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> queued.Queued | refusal_reason.RefusalReason:
        """Queues a call, or says why not."""
        hold_s = self._meter.hold_s
        ahead = self._queue.count_ahead(ticket.class_rank) + 1
        wait_s = ahead * hold_s / self._meter.limit
        longest_s = self._get_longest_wait_s(ticket)
        expires_s = min(now_s + longest_s, ticket.deadline_s - hold_s)
        if now_s + wait_s > expires_s:
            self._meter.count_shed()
            return _Reason.OVERLOADED
        if len(self._queue) >= self.bound and not self._make_room(ticket):
            return _Reason.QUEUE_FULL
        self._queue.push(now_s, ticket, expires_s)
        return queued.Queued(expires_s)

    def get_alone_expiry_s(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> float:
        """Returns until when a call may wait for an idle endpoint."""
        longest_s = now_s + self._settings.maximum_alone_wait_s
        return min(longest_s, ticket.deadline_s - self._meter.hold_s)

    def leave(self, ticket_id: str) -> bool:
        """Drops a call that its caller gave up; False if it is not here."""
        before = len(self._refused)
        self._refused = [one for one in self._refused if one[0] != ticket_id]
        was_queued = self._queue.remove(ticket_id) is not None
        return was_queued or len(self._refused) < before

    def refuse(
        self, ticket_id: str, reason: refusal_reason.RefusalReason
    ) -> None:
        """Keeps a refusal until the next `pop_refused`."""
        self._refused.append((ticket_id, reason))

    def close(self, reason: refusal_reason.RefusalReason) -> None:
        """Gives up every call that waits."""
        while (waiting := self._queue.first) is not None:
            self._queue.remove(waiting.ticket.ticket_id)
            self.refuse(waiting.ticket.ticket_id, reason)

    def pop_refused(
        self, now_s: float
    ) -> list[tuple[str, refusal_reason.RefusalReason]]:
        """Takes out what was given up, and what expires now."""
        while (waiting := self._queue.pop_expired(now_s)) is not None:
            self._meter.count_shed()
            self.refuse(waiting.ticket.ticket_id, _Reason.OVERLOADED)
        refused = self._refused
        self._refused = []
        return refused

    def pop_first(self) -> ticket_queue.Waiting | None:
        """Takes out the call that starts next; None if none waits."""
        waiting = self._queue.first
        if waiting is not None:
            self._queue.remove(waiting.ticket.ticket_id)
        return waiting

    def _make_room(self, ticket: ticket_module.Ticket) -> bool:
        """Gives up a less important call, or goes over the bound for this."""
        self._meter.count_shed()
        last = self._queue.last
        if last is None:
            return False
        is_lower_class = last.ticket.class_rank > ticket.class_rank
        # Calls that may wait longer may be more in number.
        is_shedding = self._meter.level < self._meter.top
        is_above = is_shedding and self._is_above_shed_class(ticket)
        if is_above and not is_lower_class:
            return len(self._queue) < ABOVE_FACTOR * self.bound
        if last.ticket.priority <= ticket.priority:
            return False
        self._queue.remove(last.ticket.ticket_id)
        self.refuse(last.ticket.ticket_id, _Reason.QUEUE_FULL)
        return True

    def _get_longest_wait_s(self, ticket: ticket_module.Ticket) -> float:
        longest_s = self._settings.maximum_wait_s
        if self._is_above_shed_class(ticket):
            longest_s *= ABOVE_FACTOR
        return longest_s

    def _is_above_shed_class(self, ticket: ticket_module.Ticket) -> bool:
        """True if only lower classes are being shed."""
        return ticket.class_rank < self._meter.level // _SHED_HASHES
