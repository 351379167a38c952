"""The bounded queue of calls that wait for a slot of one endpoint."""

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import load_meter
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import ticket_queue
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context

# Factor on wait and queue length for classes above the one being shed.
UNSHED_CLASS_FACTOR = 2
_Reason = refusal_reason.RefusalReason
_SHED_HASHES = request_context.SHED_HASHES


class AdmissionQueue:
    """Queues only calls that can still start before their deadline.

    Calls that are evicted or expire are kept with their reason until
    `pop_refused`.
    """

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        meter: load_meter.LoadMeter,
    ) -> None:
        """Starts empty.

        Args:
            settings: Bounds of queue length and waiting time.
            meter: Supplies the current limit, hold time and shed level.
        """
        self._settings = settings
        self._meter = meter
        self._queue = ticket_queue.TicketQueue()
        self._refused: list[tuple[str, refusal_reason.RefusalReason]] = []

    def __len__(self) -> int:
        """Returns the number of queued calls."""
        return len(self._queue)

    @property
    def maximum_length(self) -> int:
        """Largest allowed queue length."""
        maximum_length = self._settings.queue_per_slot * self._meter.limit
        if self._meter.capacity_per_s:
            served_in_time = (
                self._settings.maximum_wait_s * self._meter.capacity_per_s
            )
            maximum_length = min(maximum_length, served_in_time)
        return max(int(maximum_length), self._settings.minimum_queue_length)

    @property
    def has_refused(self) -> bool:
        """True if `pop_refused` would return a call without any expiring."""
        return bool(self._refused)

    @property
    def next_expiry_s(self) -> float | None:
        """Earliest expiry of any queued call; None if none is queued."""
        return self._queue.next_expiry_s

    def get_head_wait_s(self, now_s: float) -> float:
        """Returns how long the call that starts next has waited, in seconds."""
        next_to_start = self._queue.next_to_start
        return 0.0 if next_to_start is None else now_s - next_to_start.arrived_s

    def push(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> queued.Queued | refusal_reason.RefusalReason:
        """Queues a call or returns the reason for refusing it."""
        mean_hold_s = self._meter.mean_hold_s
        ahead = self._queue.count_ahead(ticket.class_rank) + 1
        wait_s = ahead * mean_hold_s / self._meter.limit
        maximum_wait_s = self._get_maximum_wait_s(ticket)
        expires_s = min(now_s + maximum_wait_s, ticket.deadline_s - mean_hold_s)
        if now_s + wait_s > expires_s:
            self._meter.count_shed()
            return _Reason.OVERLOADED
        if len(self._queue) >= self.maximum_length and not self._make_room(
            ticket
        ):
            return _Reason.QUEUE_FULL
        self._queue.push(now_s, ticket, expires_s)
        return queued.Queued(expires_s)

    def get_exclusive_expiry_s(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> float:
        """Returns until when a call may wait for an idle endpoint."""
        latest_s = now_s + self._settings.maximum_exclusive_wait_s
        return min(latest_s, ticket.deadline_s - self._meter.mean_hold_s)

    def remove(self, ticket_id: str) -> bool:
        """Removes a call whose caller gave up; False if it is not here."""
        refused_before = len(self._refused)
        self._refused = [
            entry for entry in self._refused if entry[0] != ticket_id
        ]
        was_queued = self._queue.remove(ticket_id) is not None
        return was_queued or len(self._refused) < refused_before

    def refuse(
        self, ticket_id: str, reason: refusal_reason.RefusalReason
    ) -> None:
        """Keeps a refused call and the reason for the next `pop_refused`."""
        self._refused.append((ticket_id, reason))

    def refuse_all(self, reason: refusal_reason.RefusalReason) -> None:
        """Refuses every queued call."""
        while (waiting := self._queue.next_to_start) is not None:
            self._queue.remove(waiting.ticket.ticket_id)
            self.refuse(waiting.ticket.ticket_id, reason)

    def pop_refused(
        self, now_s: float
    ) -> list[tuple[str, refusal_reason.RefusalReason]]:
        """Expires overdue calls; returns all those refused since last time."""
        while (waiting := self._queue.pop_expired(now_s)) is not None:
            self._meter.count_shed()
            self.refuse(waiting.ticket.ticket_id, _Reason.OVERLOADED)
        refused = self._refused
        self._refused = []
        return refused

    def pop_next(self) -> ticket_queue.QueuedTicket | None:
        """Removes and returns the call that starts next; None if empty."""
        waiting = self._queue.next_to_start
        if waiting is not None:
            self._queue.remove(waiting.ticket.ticket_id)
        return waiting

    def _make_room(self, ticket: ticket_module.Ticket) -> bool:
        """Evicts a less important call or lets this one exceed the maximum.

        Returns:
            False if the queue is full for this call.
        """
        self._meter.count_shed()
        candidate = self._queue.next_to_evict
        if candidate is None:
            return False
        is_lower_class = candidate.ticket.class_rank > ticket.class_rank
        # A longer permitted wait needs a longer queue.
        is_shedding = self._meter.level < self._meter.maximum_level
        is_above = is_shedding and self._is_above_shed_class(ticket)
        if is_above and not is_lower_class:
            return len(self._queue) < UNSHED_CLASS_FACTOR * self.maximum_length
        if candidate.ticket.priority <= ticket.priority:
            return False
        self._queue.remove(candidate.ticket.ticket_id)
        self.refuse(candidate.ticket.ticket_id, _Reason.QUEUE_FULL)
        return True

    def _get_maximum_wait_s(self, ticket: ticket_module.Ticket) -> float:
        maximum_wait_s = self._settings.maximum_wait_s
        if self._is_above_shed_class(ticket):
            maximum_wait_s *= UNSHED_CLASS_FACTOR
        return maximum_wait_s

    def _is_above_shed_class(self, ticket: ticket_module.Ticket) -> bool:
        """True if only less important classes are being shed."""
        return ticket.class_rank < self._meter.level // _SHED_HASHES
