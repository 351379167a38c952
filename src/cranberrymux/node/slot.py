"""The slot that a call asks for and gives back."""

from collections.abc import Callable

from cranberrymux.decisions.admission import outcome
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.models import refusal
from cranberrymux.models import request_context
from cranberrymux.node import admission_task


class Slot:
    """One call's place in admission: not asked for, waiting, held or over."""

    def __init__(self, admission: admission_task.AdmissionTask) -> None:
        """Asks for nothing yet."""
        self._admission = admission
        self._ticket_id = ""
        self._is_held = False

    @property
    def ticket_id(self) -> str:
        """Id of the call at admission; empty before `ask`."""
        return self._ticket_id

    def ask(
        self,
        context: request_context.RequestContext,
        deadline_s: float,
        held: isolation.Isolation,
        on_admitted: Callable[[], None],
        on_refused: Callable[[refusal.Refusal], None],
    ) -> None:
        """Asks for the slot.

        Args:
            context: Context of the call.
            deadline_s: Monotonic seconds at which its caller stops waiting.
            held: What is held against the call.
            on_admitted: Called, maybe at once, when the slot is held.
            on_refused: Called, maybe at once, when there will be none.
        """

        def take() -> None:
            self._is_held = True
            on_admitted()

        self._ticket_id = self._admission.next_ticket_id()
        self._admission.offer(
            self._ticket_id, context, deadline_s, held, take, on_refused
        )

    def give_back(self, ended: outcome.Outcome, below_s: float) -> None:
        """Ends the wait or frees the slot.

        Args:
            ended: How the call ended.
            below_s: Seconds in which child calls were open.
        """
        if not self._ticket_id:
            return
        if self._is_held:
            self._admission.finish(self._ticket_id, ended, below_s)
        else:
            self._admission.cancel(self._ticket_id)
