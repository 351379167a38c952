"""Admits, queues or refuses the calls to one backend server."""

import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import alone_gate
from cranberrymux.decisions.admission import downstream_levels
from cranberrymux.decisions.admission import load_meter
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import refuser
from cranberrymux.decisions.admission import running
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import ticket_queue
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context

Decision = admitted.Admitted | refusal.Refusal
Verdict = admitted.Admitted | queued.Queued | refusal.Refusal

_Reason = refusal_reason.RefusalReason
_SHED_HASHES = request_context.SHED_HASHES


class AdmissionController:
    """The admission of one endpoint.

    A call is offered once. It is admitted, refused or queued; `poll` tells
    what becomes of the queued ones. Whoever drives the controller polls after
    each `finish`, `cancel`, `set_slots` and `begin_drain`, and at
    `next_poll_s`.
    """

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        generator: random.Random,
    ) -> None:
        """Starts idle and open."""
        self._settings = settings
        self._meter = load_meter.LoadMeter(settings)
        self._downstream = downstream_levels.DownstreamLevels(
            settings.hint_life_s, self._meter.top
        )
        self._gate = alone_gate.AloneGate()
        self._queue = ticket_queue.TicketQueue()
        self._refuser = refuser.Refuser(settings, generator)
        self._running: dict[str, running.Running] = {}
        self._decided: list[tuple[str, refusal.Refusal]] = []
        self._is_draining = False

    @property
    def level(self) -> int:
        """Calls with a priority above this would be refused now."""
        return min(self._meter.level, self._downstream.minimum)

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._meter.limit

    @property
    def in_flight(self) -> int:
        """Calls that hold a slot."""
        return len(self._running)

    @property
    def queue_length(self) -> int:
        """Calls that wait for a slot."""
        return len(self._queue)

    @property
    def load(self) -> float:
        """Share of the slots and of the queue in use, 0.0 to 1.0.

        It is measured here, so that it neither lags nor misleads.
        """
        room = self._meter.limit + self._get_queue_bound()
        return min((len(self._running) + len(self._queue)) / room, 1.0)

    @property
    def is_draining(self) -> bool:
        """True once `begin_drain` was told."""
        return self._is_draining

    @property
    def is_drained(self) -> bool:
        """True if draining and nothing is in flight or left to poll."""
        idle = not self._running and not self._decided
        return self._is_draining and idle

    def offer(self, now_s: float, ticket: ticket_module.Ticket) -> Verdict:
        """Decides on a new call.

        Args:
            now_s: Monotonic seconds.
            ticket: The call; its id is neither queued nor running.

        Returns:
            `Admitted` if it runs now, `Queued` if `poll` will tell, or a
            refusal that proves that it was not run.
        """
        if self._is_draining:
            return self._refuser.refuse_draining()
        self._roll_window(now_s)
        self._meter.count_arrival(ticket.priority)
        reason = self._find_reason(now_s, ticket)
        if reason is not None:
            return self._refuse(now_s, reason)
        if ticket.is_suspect:
            return self._offer_alone(now_s, ticket)
        if self._has_slot and not self._queue:
            return self._start(now_s, ticket, now_s)
        return self._enqueue(now_s, ticket)

    def cancel(self, now_s: float, ticket_id: str) -> bool:
        """Drops a call that its caller gave up.

        Returns:
            True if it was queued, so that it was not run and never will be.
            False if it is running (its slot is held until `finish`) or not
            known.
        """
        self._roll_window(now_s)
        before = len(self._decided)
        self._decided = [one for one in self._decided if one[0] != ticket_id]
        suspect = self._gate.waiting
        if suspect is not None and suspect.ticket_id == ticket_id:
            self._gate.give_up(now_s)
            return True
        was_queued = self._queue.remove(ticket_id) is not None
        return was_queued or len(self._decided) < before

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        below_s: float = 0.0,
    ) -> None:
        """Frees the slot of a running call.

        Args:
            now_s: Monotonic seconds.
            ticket_id: The call; one that does not run is ignored.
            outcome: How it ended.
            below_s: Seconds of its time that were spent in the calls that the
                backend server made for it.
        """
        started = self._running.pop(ticket_id, None)
        if started is None:
            return
        self._gate.finish(now_s, ticket_id)
        hold_s = now_s - started.started_s
        own_s = max(hold_s - below_s, 0.0)
        self._meter.count_finish(outcome, hold_s, own_s)
        self._roll_window(now_s)

    def poll(self, now_s: float) -> list[tuple[str, Decision]]:
        """Tells which queued calls start or are refused now."""
        self._roll_window(now_s)
        self._drop_hopeless(now_s)
        decisions: list[tuple[str, Decision]] = list(self._decided)
        self._decided.clear()
        decisions.extend(self._poll_alone(now_s))
        while self._has_slot:
            first = self._queue.first
            if first is None:
                break
            self._queue.remove(first.ticket.ticket_id)
            verdict = self._start(now_s, first.ticket, first.arrived_s)
            decisions.append((first.ticket.ticket_id, verdict))
        return decisions

    def next_poll_s(self, now_s: float) -> float | None:
        """Returns when `poll` has something to tell; None for never."""
        is_idle = not self._running
        if self._decided or (self._queue and self._has_slot):
            return now_s
        expiry_s = self._queue.next_expiry_s
        if self._gate.waiting is not None:
            alone_s = now_s if is_idle else self._gate.expires_s
            expiry_s = alone_s if expiry_s is None else min(expiry_s, alone_s)
        return None if expiry_s is None else max(expiry_s, now_s)

    def set_slots(self, now_s: float, slots: int) -> None:
        """Takes the slots that the backend server announces."""
        self._roll_window(now_s)
        self._meter.set_slots(slots)

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Takes the load, 0.0 to 1.0, that the backend server reports."""
        self._meter.set_load_hint(now_s, load)

    def set_downstream_level(
        self, now_s: float, service: str, level: int
    ) -> None:
        """Takes the level that a deeper service put on its answer."""
        self._downstream.hear(now_s, service, level)

    def begin_drain(self, now_s: float) -> None:
        """Refuses new and queued calls as not run; running ones go on."""
        self._roll_window(now_s)
        self._is_draining = True
        if self._gate.waiting is not None:
            verdict = self._refuser.refuse_draining()
            self._decided.append((self._gate.waiting.ticket_id, verdict))
            self._gate.give_up(now_s)
        while self._queue.first is not None:
            waiting = self._queue.first
            self._queue.remove(waiting.ticket.ticket_id)
            verdict = self._refuser.refuse_draining()
            self._decided.append((waiting.ticket.ticket_id, verdict))

    def _find_reason(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> refusal_reason.RefusalReason | None:
        if ticket.deadline_s <= now_s:
            return _Reason.DEADLINE_EXPIRED
        priority = min(ticket.priority, self._meter.top)
        if priority > self._downstream.get_minimum(now_s):
            return _Reason.OVERLOADED
        is_idle = self._has_slot and not self._queue
        level = self._meter.idle_level if is_idle else self._meter.level
        return _Reason.OVERLOADED if priority > level else None

    @property
    def _has_slot(self) -> bool:
        if self._gate.is_closed:
            return False
        return len(self._running) < self._meter.limit

    def _offer_alone(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> Verdict:
        if not self._gate.can_take(now_s):
            return self._refuse(now_s, _Reason.OVERLOADED)
        latest_s = ticket.deadline_s - self._meter.hold_s
        longest_s = now_s + self._settings.maximum_alone_wait_s
        expires_s = min(longest_s, latest_s)
        if expires_s < now_s:
            return self._refuse(now_s, _Reason.OVERLOADED)
        self._gate.wait(now_s, ticket, expires_s)
        if self._running:
            return queued.Queued(expires_s)
        self._gate.start(ticket.ticket_id)
        return self._start(now_s, ticket, now_s)

    def _poll_alone(self, now_s: float) -> list[tuple[str, Decision]]:
        suspect = self._gate.waiting
        if suspect is None:
            return []
        if not self._running:
            self._gate.start(suspect.ticket_id)
            verdict = self._start(now_s, suspect, self._gate.arrived_s)
            return [(suspect.ticket_id, verdict)]
        if now_s < self._gate.expires_s:
            return []
        self._gate.give_up(now_s)
        return [(suspect.ticket_id, self._refuse(now_s, _Reason.OVERLOADED))]

    def _start(
        self, now_s: float, ticket: ticket_module.Ticket, arrived_s: float
    ) -> admitted.Admitted:
        waited_s = now_s - arrived_s
        self._running[ticket.ticket_id] = running.Running(ticket, now_s)
        self._meter.count_start(waited_s, len(self._running))
        return admitted.Admitted(waited_s)

    def _refuse(
        self, now_s: float, reason: refusal_reason.RefusalReason
    ) -> refusal.Refusal:
        return self._refuser.refuse(now_s, reason, self._meter.capacity_per_s)

    def _enqueue(self, now_s: float, ticket: ticket_module.Ticket) -> Verdict:
        hold_s = self._meter.hold_s
        ahead = self._queue.count_ahead(ticket.class_rank) + 1
        wait_s = ahead * hold_s / self._meter.limit
        latest_s = ticket.deadline_s - hold_s
        longest_s = self._settings.maximum_wait_s
        if ticket.class_rank < self._meter.level // _SHED_HASHES:
            longest_s *= 2  # Only lower classes are being shed.
        expires_s = min(now_s + longest_s, latest_s)
        if now_s + wait_s > expires_s:
            self._meter.count_shed()
            return self._refuse(now_s, _Reason.OVERLOADED)
        if len(self._queue) >= self._get_queue_bound():
            self._meter.count_shed()
            last = self._queue.last
            if last is None or last.ticket.priority <= ticket.priority:
                return self._refuse(now_s, _Reason.QUEUE_FULL)
            self._queue.remove(last.ticket.ticket_id)
            evicted = self._refuse(now_s, _Reason.QUEUE_FULL)
            self._decided.append((last.ticket.ticket_id, evicted))
        self._queue.push(now_s, ticket, expires_s)
        return queued.Queued(expires_s)

    def _get_queue_bound(self) -> int:
        bound = self._settings.queue_per_slot * self._meter.limit
        if self._meter.capacity_per_s:
            served = self._settings.maximum_wait_s * self._meter.capacity_per_s
            bound = min(bound, served)
        return max(int(bound), self._settings.minimum_queue)

    def _drop_hopeless(self, now_s: float) -> None:
        while (waiting := self._queue.pop_expired(now_s)) is not None:
            self._meter.count_shed()
            verdict = self._refuse(now_s, _Reason.OVERLOADED)
            self._decided.append((waiting.ticket.ticket_id, verdict))

    def _roll_window(self, now_s: float) -> None:
        first = self._queue.first
        head_wait_s = 0.0 if first is None else now_s - first.arrived_s
        self._meter.roll(now_s, head_wait_s)
