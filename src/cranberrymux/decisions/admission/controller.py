"""Admission control in front of one backend server."""

import random

from cranberrymux.decisions.admission import admission_queue
from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import downstream_levels
from cranberrymux.decisions.admission import load_meter
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import refusal_builder
from cranberrymux.decisions.admission import slots as slots_module
from cranberrymux.decisions.admission import suspect_gate
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import verdict as verdict_module
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

_Reason = refusal_reason.RefusalReason


class AdmissionController:
    """Admits, queues or refuses the calls to one endpoint.

    Each call is offered once and is admitted, queued or refused. `poll`
    returns the decisions on queued calls. The owner must call `poll` after
    each `finish`, `cancel`, `set_slots` and `begin_drain`, and at the time
    that `next_poll_s` returns.
    """

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        generator: random.Random,
    ) -> None:
        """Starts idle, with the shed level that refuses nothing.

        Args:
            settings: Limits of this endpoint.
            generator: Source of the jitter of retry delays.
        """
        self._meter = load_meter.LoadMeter(settings)
        self._downstream = downstream_levels.DownstreamLevels(
            settings.hint_ttl_s, self._meter.maximum_level
        )
        self._gate = suspect_gate.SuspectGate()
        self._queue = admission_queue.AdmissionQueue(settings, self._meter)
        self._refusal_builder = refusal_builder.RefusalBuilder(
            settings, generator
        )
        self._slots = slots_module.Slots(self._meter)
        self._is_draining = False

    @property
    def level(self) -> int:
        """Shed level: calls with a higher priority number are refused."""
        return min(self._meter.level, self._downstream.last_minimum)

    @property
    def limit(self) -> int:
        """Number of calls that may run at once."""
        return self._meter.limit

    @property
    def in_flight(self) -> int:
        """Number of calls that hold a slot."""
        return len(self._slots)

    @property
    def load(self) -> float:
        """Load that callers see, 0.0 to 1.0; see `LoadMeter.compute_load`."""
        return self._meter.compute_load(
            len(self._slots), len(self._queue) / self._queue.maximum_length
        )

    @property
    def is_drained(self) -> bool:
        """True if draining, with no call running and no refusal to poll."""
        is_idle = not self._slots and not self._queue.has_refused
        return self._is_draining and is_idle

    def offer(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict_module.Verdict:
        """Decides on a new call.

        Args:
            now_s: Monotonic seconds.
            ticket: The call; its id must not be queued or running.

        Returns:
            `Admitted`, `Queued` if `poll` will return the decision, or a
            `Refusal` of kind `NOT_RUN`.
        """
        if self._is_draining:
            return self._refusal_builder.build_draining()
        self._roll_window(now_s)
        self._meter.count_arrival(ticket.priority)
        is_idle = self._has_slot and not self._queue
        reason = self._find_refusal_reason(now_s, ticket, is_idle)
        if reason is not None:
            return self._refuse(now_s, reason)
        if ticket.is_suspect and not self._gate.register(ticket.ticket_id):
            return self._refuse(now_s, _Reason.OVERLOADED)
        verdict = self._start_or_queue(now_s, ticket, is_idle)
        if isinstance(verdict, refusal.Refusal):
            self._gate.unregister(ticket.ticket_id)
        return verdict

    def _start_or_queue(
        self, now_s: float, ticket: ticket_module.Ticket, is_idle: bool
    ) -> verdict_module.Verdict:
        if ticket.is_exclusive:
            return self._offer_exclusive(now_s, ticket)
        if is_idle:
            return self._slots.start(now_s, ticket.ticket_id, now_s)
        verdict = self._queue.push(now_s, ticket)
        if isinstance(verdict, queued.Queued):
            return verdict
        return self._refuse(now_s, verdict)

    def cancel(self, now_s: float, ticket_id: str) -> bool:
        """Removes a queued call whose caller gave up.

        Returns:
            True if the call was queued, so that it has not run and never will;
            False if it is unknown or is running, which holds its slot until
            `finish`.
        """
        self._roll_window(now_s)
        suspect = self._gate.waiting
        if suspect is not None and suspect.ticket_id == ticket_id:
            self._gate.cancel_wait(now_s)
            return True
        was_queued = self._queue.remove(ticket_id)
        if was_queued:
            self._gate.unregister(ticket_id)
        return was_queued

    def finish(
        self,
        now_s: float,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        downstream_s: float = 0.0,
    ) -> None:
        """Frees the slot of a running call.

        Args:
            now_s: Monotonic seconds.
            ticket_id: Id of the call; ignored if it is not running.
            outcome: How the call ended.
            downstream_s: Seconds that the backend server spent waiting for the
                downstream calls of this call.
        """
        if self._slots.finish(now_s, ticket_id, outcome, downstream_s):
            self._gate.finish(now_s, ticket_id)
            self._roll_window(now_s)

    def poll(self, now_s: float) -> verdict_module.Decisions:
        """Returns the queued calls that start or are refused now."""
        self._roll_window(now_s)
        decisions: verdict_module.Decisions = []
        for ticket_id, reason in self._queue.pop_refused(now_s):
            self._gate.unregister(ticket_id)
            decisions.append((ticket_id, self._refuse(now_s, reason)))
        decisions.extend(self._poll_exclusive(now_s))
        while self._has_slot:
            entry = self._queue.pop_next()
            if entry is None:
                break
            ticket_id = entry.ticket.ticket_id
            verdict = self._slots.start(now_s, ticket_id, entry.arrived_s)
            decisions.append((ticket_id, verdict))
        return decisions

    def next_poll_s(self, now_s: float) -> float | None:
        """Returns when `poll` must be called next; None if nothing is due."""
        if self._queue.has_refused or (self._queue and self._has_slot):
            return now_s
        expiry_s = self._queue.next_expiry_s
        if self._gate.waiting is not None:
            exclusive_s = self._gate.expires_s if self._slots else now_s
            expiry_s = (
                exclusive_s if expiry_s is None else min(expiry_s, exclusive_s)
            )
        return None if expiry_s is None else max(expiry_s, now_s)

    def set_slots(self, now_s: float, slots: int) -> None:
        """Applies the number of slots that the backend server announces."""
        self._roll_window(now_s)
        self._meter.set_slots(slots)

    def set_load_hint(self, now_s: float, load: float) -> None:
        """Records the load, 0.0 to 1.0, that the backend server reports."""
        self._meter.set_load_hint(now_s, load)

    def set_downstream_level(
        self, now_s: float, service: str, level: int
    ) -> None:
        """Records the shed level in the answer of a downstream service."""
        self._downstream.update(now_s, service, level)

    def begin_drain(self, now_s: float) -> None:
        """Refuses new and queued calls as not run; running calls continue."""
        self._roll_window(now_s)
        self._is_draining = True
        if self._gate.waiting is not None:
            self._queue.refuse(self._gate.waiting.ticket_id, _Reason.DRAINING)
            self._gate.cancel_wait(now_s)
        self._queue.refuse_all(_Reason.DRAINING)

    def _find_refusal_reason(
        self, now_s: float, ticket: ticket_module.Ticket, is_idle: bool
    ) -> refusal_reason.RefusalReason | None:
        if ticket.deadline_s <= now_s:
            return _Reason.DEADLINE_EXPIRED
        priority = min(ticket.priority, self._meter.maximum_level)
        if priority > self._downstream.get_minimum(now_s):
            return _Reason.OVERLOADED
        level = self._meter.idle_level if is_idle else self._meter.level
        return _Reason.OVERLOADED if priority > level else None

    @property
    def _has_slot(self) -> bool:
        return not self._gate.is_closed and self._slots.has_free

    def _offer_exclusive(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict_module.Verdict:
        expires_s = self._queue.get_exclusive_expiry_s(now_s, ticket)
        if not self._gate.wait_exclusive(now_s, ticket, expires_s):
            return self._refuse(now_s, _Reason.OVERLOADED)
        if self._slots:
            return queued.Queued(expires_s)
        self._gate.start_exclusive(ticket.ticket_id)
        return self._slots.start(now_s, ticket.ticket_id, now_s)

    def _poll_exclusive(self, now_s: float) -> verdict_module.Decisions:
        suspect = self._gate.waiting
        if suspect is None:
            return []
        if not self._slots:
            self._gate.start_exclusive(suspect.ticket_id)
            verdict = self._slots.start(
                now_s, suspect.ticket_id, self._gate.arrived_s
            )
            return [(suspect.ticket_id, verdict)]
        if now_s < self._gate.expires_s:
            return []
        self._gate.cancel_wait(now_s)
        return [(suspect.ticket_id, self._refuse(now_s, _Reason.OVERLOADED))]

    def _refuse(
        self, now_s: float, reason: refusal_reason.RefusalReason
    ) -> refusal.Refusal:
        return self._refusal_builder.build(
            now_s, reason, self._meter.capacity_per_s
        )

    def _roll_window(self, now_s: float) -> None:
        if now_s >= self._meter.window_ends_s:
            self._meter.roll(now_s, self._queue.get_head_wait_s(now_s))
