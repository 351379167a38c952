"""Runs the admission controller and reports its decisions to the calls."""

from collections.abc import Callable
import itertools
from typing import NamedTuple

from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.admission import ticket
from cranberrymux.decisions.admission import verdict as verdict_module
from cranberrymux.decisions.quarantine import isolation as isolation_module
from cranberrymux.models import refusal
from cranberrymux.models import request_context
from cranberrymux.node import clock
from cranberrymux.node import deadline_table


class _Waiting(NamedTuple):
    on_admitted: Callable[[], None]
    on_refused: Callable[[refusal.Refusal], None]


class AdmissionTask:
    """Owns the admission controller, which identifies calls by ticket id.

    It polls the controller when one of its methods may have freed a slot and
    whenever the controller asks for it, and calls back the calls decided on.
    """

    def __init__(
        self,
        admission: controller.AdmissionController,
        system_clock: clock.Clock,
        deadlines: deadline_table.DeadlineTable,
    ) -> None:
        """Starts without calls.

        Args:
            admission: The controller; nothing else may call it.
            system_clock: The node's clocks.
            deadlines: Where the polls are scheduled.
        """
        self._admission = admission
        self._clock = system_clock
        self._deadlines = deadlines
        self._waiting: dict[str, _Waiting] = {}
        self._ticket_numbers = itertools.count()
        self._next_poll_s = float("inf")

    @property
    def level(self) -> int:
        """Shed level: calls with a higher priority number are refused."""
        return self._admission.level

    @property
    def in_flight(self) -> int:
        """Number of calls that hold a slot."""
        return self._admission.in_flight

    @property
    def queue_length(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Number of calls that may run at once."""
        return self._admission.limit

    @property
    def load(self) -> float:
        """Load that callers see, from slots and queue in use, 0.0 to 1.0."""
        return self._admission.load

    @property
    def is_drained(self) -> bool:
        """True if draining, with no call in flight and no refusal to poll."""
        return self._admission.is_drained

    def next_ticket_id(self) -> str:
        """Returns an unused id for `offer`."""
        return str(next(self._ticket_numbers))

    def offer(
        self,
        ticket_id: str,
        context: request_context.RequestContext,
        deadline_s: float,
        isolation: isolation_module.Isolation,
        on_admitted: Callable[[], None],
        on_refused: Callable[[refusal.Refusal], None],
    ) -> None:
        """Requests a slot for a call.

        Exactly one of the callbacks is called, possibly before this returns;
        neither is called after `cancel`.

        Args:
            ticket_id: Id from `next_ticket_id`.
            context: Context of the call.
            deadline_s: Monotonic seconds at which its caller stops waiting.
            isolation: Which other calls may run at the same time.
            on_admitted: Called when the call holds a slot, until `finish`.
            on_refused: Called with the refusal if it gets none.
        """
        now_s = self._clock.now_s()
        verdict = self._admission.offer(
            now_s,
            ticket.Ticket(
                ticket_id,
                context.priority,
                context.class_rank,
                deadline_s,
                isolation is isolation_module.Isolation.SUSPECT,
                isolation is isolation_module.Isolation.ALONE,
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
        """Removes a call from the queue; ignored if it is not queued."""
        now_s = self._clock.now_s()
        if self._waiting.pop(ticket_id, None) is None:
            return
        self._admission.cancel(now_s, ticket_id)
        self.poll()

    def finish(
        self,
        ticket_id: str,
        outcome: outcome_module.Outcome,
        downstream_s: float,
    ) -> None:
        """Frees the slot of a running call.

        Args:
            ticket_id: Id of the call; ignored if it is not running.
            outcome: How the call ended.
            downstream_s: Seconds in which at least one child call was open.
        """
        self._admission.finish(
            self._clock.now_s(), ticket_id, outcome, downstream_s
        )
        if self._waiting:
            self.poll()

    def set_slots(self, slots: int) -> None:
        """Applies the number of slots of the backend server."""
        self._admission.set_slots(self._clock.now_s(), slots)
        self.poll()

    def set_load_hint(self, load: float) -> None:
        """Records the load that the backend server reports, 0.0 to 1.0."""
        self._admission.set_load_hint(self._clock.now_s(), load)

    def set_downstream_level(self, service: str, level: int) -> None:
        """Records the shed level in an answer of a service called from here."""
        now_s = self._clock.now_s()
        self._admission.set_downstream_level(now_s, service, level)

    def begin_drain(self) -> None:
        """Refuses new and queued calls; calls in flight continue."""
        self._admission.begin_drain(self._clock.now_s())
        self.poll()

    def poll(self) -> None:
        """Calls back the queued calls that are admitted or refused now."""
        now_s = self._clock.now_s()
        for ticket_id, verdict in self._admission.poll(now_s):
            waiting = self._waiting.pop(ticket_id, None)
            if waiting is None:
                self._release_unclaimed(ticket_id, verdict)
            elif isinstance(verdict, refusal.Refusal):
                waiting.on_refused(verdict)
            else:
                waiting.on_admitted()
        self._schedule_poll(now_s)

    def _release_unclaimed(
        self, ticket_id: str, verdict: verdict_module.Decision
    ) -> None:
        """Frees the slot of a call that no longer waits for it."""
        if isinstance(verdict, admitted.Admitted):
            now_s = self._clock.now_s()
            self._admission.finish(
                now_s, ticket_id, outcome_module.Outcome.CANCELLED
            )

    def _schedule_poll(self, now_s: float) -> None:
        due_s = self._admission.next_poll_s(now_s)
        if due_s is None or due_s >= self._next_poll_s:
            return
        self._next_poll_s = due_s
        self._deadlines.add(due_s, self._run_scheduled_poll)

    def _run_scheduled_poll(self) -> None:
        self._next_poll_s = float("inf")
        self.poll()
