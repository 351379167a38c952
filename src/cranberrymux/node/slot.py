"""Admission slot of one call."""

from collections.abc import Callable

from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.quarantine import isolation as isolation_module
from cranberrymux.models import refusal
from cranberrymux.models import request_context
from cranberrymux.node import admission_task


class Slot:
    """Requests a slot for one call and releases it in whatever state it is.

    The slot is not requested, waited for, held, or released or refused.
    """

    def __init__(self, admission: admission_task.AdmissionTask) -> None:
        """Requests nothing yet."""
        self._admission = admission
        self._ticket_id = ""
        self._is_held = False

    @property
    def ticket_id(self) -> str:
        """Id of the call at admission; empty before `acquire`."""
        return self._ticket_id

    def acquire(
        self,
        context: request_context.RequestContext,
        deadline_s: float,
        isolation: isolation_module.Isolation,
        on_admitted: Callable[[], None],
        on_refused: Callable[[refusal.Refusal], None],
    ) -> None:
        """Requests the slot.

        Exactly one of the callbacks is called, possibly before this returns;
        neither is called after `release`.

        Args:
            context: Context of the call.
            deadline_s: Monotonic seconds at which its caller stops waiting.
            isolation: Which other calls may run at the same time.
            on_admitted: Called when the call holds the slot.
            on_refused: Called with the refusal if there will be no slot.
        """

        def hold_slot() -> None:
            self._is_held = True
            on_admitted()

        self._ticket_id = self._admission.next_ticket_id()
        self._admission.offer(
            self._ticket_id,
            context,
            deadline_s,
            isolation,
            hold_slot,
            on_refused,
        )

    def release(
        self, outcome: outcome_module.Outcome, downstream_s: float
    ) -> None:
        """Leaves the queue or frees the slot; ignored before `acquire`.

        Args:
            outcome: How the call ended.
            downstream_s: Seconds in which at least one child call was open.
        """
        if not self._ticket_id:
            return
        if self._is_held:
            self._admission.finish(self._ticket_id, outcome, downstream_s)
        else:
            self._admission.cancel(self._ticket_id)
