"""Drives the admission controller and tells calls what becomes of them."""

from collections.abc import Callable
import itertools
from typing import NamedTuple

from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import outcome
from cranberrymux.decisions.admission import ticket
from cranberrymux.decisions.admission import verdict as verdict_module
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.models import refusal
from cranberrymux.models import request_context
from cranberrymux.node import clock
from cranberrymux.node import deadline_table


class _Waiting(NamedTuple):
    on_admitted: Callable[[], None]
    on_refused: Callable[[refusal.Refusal], None]


class AdmissionTask:
    """Owns the admission controller; calls talk to it by ticket id."""

    def __init__(
        self,
        admission: controller.AdmissionController,
        system_clock: clock.Clock,
        deadlines: deadline_table.DeadlineTable,
    ) -> None:
        """Keeps the controller, which nobody else may drive."""
        self._admission = admission
        self._clock = system_clock
        self._deadlines = deadlines
        self._waiting: dict[str, _Waiting] = {}
        self._numbers = itertools.count()
        self._poll_due_s = float("inf")

    @property
    def level(self) -> int:
        """Calls with a priority above this would be refused now."""
        return self._admission.level

    @property
    def in_flight(self) -> int:
        """Calls that hold a slot."""
        return self._admission.in_flight

    @property
    def queue_length(self) -> int:
        """Calls that wait for a slot."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._admission.limit

    @property
    def load(self) -> float:
        """Share of the slots and of the queue in use, 0.0 to 1.0."""
        return self._admission.load

    @property
    def is_drained(self) -> bool:
        """True if draining and nothing is in flight."""
        return self._admission.is_drained

    def next_ticket_id(self) -> str:
        """Returns an id for `offer`."""
        return str(next(self._numbers))

    def offer(
        self,
        ticket_id: str,
        context: request_context.RequestContext,
        deadline_s: float,
        held: isolation.Isolation,
        on_admitted: Callable[[], None],
        on_refused: Callable[[refusal.Refusal], None],
    ) -> None:
        """Asks for a slot; one of the callbacks is called, maybe at once."""
        now_s = self._clock.now_s()
        verdict = self._admission.offer(
            now_s,
            ticket.Ticket(
                ticket_id,
                context.priority,
                context.class_rank,
                deadline_s,
                held is isolation.Isolation.SUSPECT,
                held is isolation.Isolation.ALONE,
            ),
        )
        if isinstance(verdict, admitted.Admitted):
            on_admitted()
        elif isinstance(verdict, refusal.Refusal):
            on_refused(verdict)
        else:
            self._waiting[ticket_id] = _Waiting(on_admitted, on_refused)
            self._schedule_poll(now_s)

    def cancel(self, ticket_id: str) -> None:
        """Drops a queued call whose caller has gone."""
        now_s = self._clock.now_s()
        if self._waiting.pop(ticket_id, None) is None:
            return
        self._admission.cancel(now_s, ticket_id)
        self.poll()

    def finish(
        self, ticket_id: str, ended: outcome.Outcome, below_s: float
    ) -> None:
        """Gives a slot back."""
        self._admission.finish(self._clock.now_s(), ticket_id, ended, below_s)
        if self._waiting:
            self.poll()

    def set_slots(self, slots: int) -> None:
        """Takes the slots that the backend server announces."""
        self._admission.set_slots(self._clock.now_s(), slots)
        self.poll()

    def set_load_hint(self, load: float) -> None:
        """Takes the load that the backend server reports, 0.0 to 1.0."""
        self._admission.set_load_hint(self._clock.now_s(), load)

    def set_downstream_level(self, service: str, level: int) -> None:
        """Takes the level that a deeper service put on its answer."""
        now_s = self._clock.now_s()
        self._admission.set_downstream_level(now_s, service, level)

    def begin_drain(self) -> None:
        """Refuses new and queued calls; those in flight go on."""
        self._admission.begin_drain(self._clock.now_s())
        self.poll()

    def poll(self) -> None:
        """Tells queued calls that start or are refused now."""
        now_s = self._clock.now_s()
        for ticket_id, verdict in self._admission.poll(now_s):
            waiting = self._waiting.pop(ticket_id, None)
            if waiting is None:
                self._return_unclaimed(ticket_id, verdict)
            elif isinstance(verdict, refusal.Refusal):
                waiting.on_refused(verdict)
            else:
                waiting.on_admitted()
        self._schedule_poll(now_s)

    def _return_unclaimed(
        self, ticket_id: str, verdict: verdict_module.Decision
    ) -> None:
        if isinstance(verdict, admitted.Admitted):
            now_s = self._clock.now_s()
            self._admission.finish(now_s, ticket_id, outcome.Outcome.CANCELLED)

    def _schedule_poll(self, now_s: float) -> None:
        due_s = self._admission.next_poll_s(now_s)
        if due_s is None or due_s >= self._poll_due_s:
            return
        self._poll_due_s = due_s
        self._deadlines.add(due_s, self._poll_due)

    def _poll_due(self) -> None:
        self._poll_due_s = float("inf")
        self.poll()
