"""One run of a call at the backend server beside this node."""

from collections.abc import Callable

from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.decisions.quarantine import isolation as isolation_module
from cranberrymux.models import refusal as refusal_module
from cranberrymux.models import request_context
from cranberrymux.models import socket_address
from cranberrymux.node import environment
from cranberrymux.node import running_call
from cranberrymux.node import slot


class BackendRun:
    """Holds what a run needs: its slot, its isolation and its child calls.

    The run may be refused, wait for its slot, hold it, have been handed over to
    the backend server, or have ended.
    """

    def __init__(
        self,
        node: environment.Environment,
        context: request_context.RequestContext,
        fingerprint: fingerprints.Fingerprint,
    ) -> None:
        """Requests nothing yet.

        Args:
            node: Tasks and tables of the node.
            context: Context of the call.
            fingerprint: Fingerprint of the call.
        """
        self._node = node
        self._context = context
        self._fingerprint = fingerprint
        self._isolation = isolation_module.Isolation.CLEAR
        self._slot = slot.Slot(node.admission)
        self._running: running_call.RunningCall | None = None

    @property
    def has_failed_child(self) -> bool:
        """True if a child call of the run failed."""
        return self._running is not None and self._running.has_failed_child

    def classify(self) -> refusal_module.Refusal | None:
        """Decides how isolated the call runs; returns the refusal if not."""
        classified = self._node.quarantine.classify(self._fingerprint)
        if isinstance(classified, refusal_module.Refusal):
            return classified
        self._isolation = classified
        return None

    def request_slot(
        self,
        deadline_s: float,
        on_admitted: Callable[[], None],
        on_refused: Callable[[refusal_module.Refusal], None],
    ) -> None:
        """Requests the slot; see `slot.Slot.acquire`."""
        self._slot.acquire(
            self._context, deadline_s, self._isolation, on_admitted, on_refused
        )

    def begin(
        self, now_s: float, context: request_context.RequestContext
    ) -> None:
        """Records that the call is handed over to the backend server.

        Args:
            now_s: Monotonic seconds.
            context: Context of the call as the backend server gets it.
        """
        self._running = running_call.RunningCall(context, now_s)
        self._node.running.add(self._running)
        self._node.quarantine.start(
            self._slot.ticket_id,
            self._fingerprint,
            self._isolation is not isolation_module.Isolation.CLEAR,
        )

    def finish(self, is_clean: bool, *, may_still_run: bool = False) -> None:
        """Records how the run ended if the backend server is still alive.

        Args:
            is_clean: True if the backend server ran the call to its end.
            may_still_run: True if the backend server may still be at work on
                it.
        """
        if self._running is not None:
            self._node.quarantine.finish(
                self._slot.ticket_id, is_clean, may_still_run=may_still_run
            )

    def note_lost(self, address: socket_address.SocketAddress) -> None:
        """Records that the connection broke, until it is known why."""
        self._node.quarantine.losses.add(self._slot.ticket_id, address)

    def close_children(self) -> int:
        """Cancels the child calls and takes back what is left of the budget.

        Returns:
            Retries of the call's budget that were not spent.
        """
        unspent = self._context.retry_budget
        if self._running is not None:
            self._running.cancel_children()
            self._node.running.remove(self._running)
            unspent = self._running.ledger.close()
        self._node.grants.give_back(
            self._context.principal, self._context.request_id, unspent
        )
        return unspent

    def release(self, outcome: outcome_module.Outcome) -> None:
        """Frees the slot, or leaves the queue.

        Args:
            outcome: How the call ended.
        """
        downstream_s = 0.0
        if self._running is not None:
            downstream_s = self._running.downstream_s
        self._slot.release(outcome, downstream_s)
