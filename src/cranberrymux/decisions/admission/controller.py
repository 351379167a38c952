"""Admits, queues or refuses the calls to one backend server."""

import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import downstream_levels
from cranberrymux.decisions.admission import load_meter
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import queued
from cranberrymux.decisions.admission import refuser
from cranberrymux.decisions.admission import slots as slots_module
from cranberrymux.decisions.admission import suspect_gate
from cranberrymux.decisions.admission import ticket as ticket_module
from cranberrymux.decisions.admission import verdict as verdict_module
from cranberrymux.decisions.admission import waiting_room
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

_Reason = refusal_reason.RefusalReason


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
        self._meter = load_meter.LoadMeter(settings)
        self._downstream = downstream_levels.DownstreamLevels(
            settings.hint_life_s, self._meter.top
        )
        self._gate = suspect_gate.SuspectGate()
        self._room = waiting_room.WaitingRoom(settings, self._meter)
        self._refuser = refuser.Refuser(settings, generator)
        self._slots = slots_module.Slots(self._meter)
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
        return len(self._slots)

    @property
    def load(self) -> float:
        """Load for the callers' choice, 0.0 to 1.0; see `weigh_load`."""
        return self._meter.weigh_load(
            len(self._slots), len(self._room) / self._room.bound
        )

    @property
    def is_drained(self) -> bool:
        """True if draining and nothing is in flight or left to poll."""
        is_idle = not self._slots and not self._room.has_refused
        return self._is_draining and is_idle

    def offer(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict_module.Verdict:
        """Decides on a new call.

        Args:
            now_s: Monotonic seconds.
            ticket: The call; its id is neither queued nor running.

        Returns:
            `Admitted`, `Queued` if `poll` will tell, or not-run.
        """
        if self._is_draining:
            return self._refuser.refuse_draining()
        self._roll_window(now_s)
        self._meter.count_arrival(ticket.priority)
        is_idle = self._has_slot and not self._room
        reason = self._find_reason(now_s, ticket, is_idle)
        if reason is not None:
            return self._refuse(now_s, reason)
        if ticket.is_suspect and not self._gate.enter(ticket.ticket_id):
            return self._refuse(now_s, _Reason.OVERLOADED)
        verdict = self._place(now_s, ticket, is_idle)
        if isinstance(verdict, refusal.Refusal):
            self._gate.leave(ticket.ticket_id)
        return verdict

    def _place(
        self, now_s: float, ticket: ticket_module.Ticket, is_idle: bool
    ) -> verdict_module.Verdict:
        if ticket.runs_alone:
            return self._offer_alone(now_s, ticket)
        if is_idle:
            return self._slots.start(now_s, ticket.ticket_id, now_s)
        verdict = self._room.enter(now_s, ticket)
        if isinstance(verdict, queued.Queued):
            return verdict
        return self._refuse(now_s, verdict)

    def cancel(self, now_s: float, ticket_id: str) -> bool:
        """Drops a call that its caller gave up.

        Returns:
            True if it was queued, so that it was not run and never will be;
            False if it runs (its slot is held until `finish`) or is unknown.
        """
        self._roll_window(now_s)
        suspect = self._gate.waiting
        if suspect is not None and suspect.ticket_id == ticket_id:
            self._gate.give_up(now_s)
            return True
        was_queued = self._room.leave(ticket_id)
        if was_queued:
            self._gate.leave(ticket_id)
        return was_queued

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
        if self._slots.finish(now_s, ticket_id, outcome, below_s):
            self._gate.finish(now_s, ticket_id)
            self._roll_window(now_s)

    def poll(self, now_s: float) -> verdict_module.Decisions:
        """Tells which queued calls start or are refused now."""
        self._roll_window(now_s)
        decisions: verdict_module.Decisions = []
        for ticket_id, reason in self._room.pop_refused(now_s):
            self._gate.leave(ticket_id)
            decisions.append((ticket_id, self._refuse(now_s, reason)))
        decisions.extend(self._poll_alone(now_s))
        while self._has_slot:
            first = self._room.pop_first()
            if first is None:
                break
            ticket_id = first.ticket.ticket_id
            verdict = self._slots.start(now_s, ticket_id, first.arrived_s)
            decisions.append((ticket_id, verdict))
        return decisions

    def next_poll_s(self, now_s: float) -> float | None:
        """Returns when `poll` has something to tell; None for never."""
        if self._room.has_refused or (self._room and self._has_slot):
            return now_s
        expiry_s = self._room.next_expiry_s
        if self._gate.waiting is not None:
            alone_s = self._gate.expires_s if self._slots else now_s
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
            self._room.refuse(self._gate.waiting.ticket_id, _Reason.DRAINING)
            self._gate.give_up(now_s)
        self._room.close(_Reason.DRAINING)

    def _find_reason(
        self, now_s: float, ticket: ticket_module.Ticket, is_idle: bool
    ) -> refusal_reason.RefusalReason | None:
        if ticket.deadline_s <= now_s:
            return _Reason.DEADLINE_EXPIRED
        priority = min(ticket.priority, self._meter.top)
        if priority > self._downstream.get_minimum(now_s):
            return _Reason.OVERLOADED
        level = self._meter.idle_level if is_idle else self._meter.level
        return _Reason.OVERLOADED if priority > level else None

    @property
    def _has_slot(self) -> bool:
        return not self._gate.is_closed and self._slots.has_free

    def _offer_alone(
        self, now_s: float, ticket: ticket_module.Ticket
    ) -> verdict_module.Verdict:
        expires_s = self._room.get_alone_expiry_s(now_s, ticket)
        if not self._gate.wait(now_s, ticket, expires_s):
            return self._refuse(now_s, _Reason.OVERLOADED)
        if self._slots:
            return queued.Queued(expires_s)
        self._gate.start(ticket.ticket_id)
        return self._slots.start(now_s, ticket.ticket_id, now_s)

    def _poll_alone(self, now_s: float) -> verdict_module.Decisions:
        suspect = self._gate.waiting
        if suspect is None:
            return []
        if not self._slots:
            self._gate.start(suspect.ticket_id)
            verdict = self._slots.start(
                now_s, suspect.ticket_id, self._gate.arrived_s
            )
            return [(suspect.ticket_id, verdict)]
        if now_s < self._gate.expires_s:
            return []
        self._gate.give_up(now_s)
        return [(suspect.ticket_id, self._refuse(now_s, _Reason.OVERLOADED))]

    def _refuse(
        self, now_s: float, reason: refusal_reason.RefusalReason
    ) -> refusal.Refusal:
        return self._refuser.refuse(now_s, reason, self._meter.capacity_per_s)

    def _roll_window(self, now_s: float) -> None:
        if now_s >= self._meter.window_ends_s:
            self._meter.roll(now_s, self._room.get_head_wait_s(now_s))
