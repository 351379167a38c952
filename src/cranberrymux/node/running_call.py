"""A call that the backend server beside this node runs."""

from typing import Protocol

from cranberrymux.decisions.retries import budget_ledger
from cranberrymux.models import request_context


class ChildCall(Protocol):
    """A call that the backend server made for a call that it runs."""

    def cancel_by_parent(self) -> None:
        """Ends the call because nobody waits for its parent any more."""


class RunningCall:
    """What egress must know of the call that its calls are made for.

    Attributes:
        context: Context of the call.
        arrived_s: Monotonic seconds at which it arrived.
        ledger: Retries that its child calls may spend.
        has_parent: False for a call that stands for no call at ingress.
        has_failed_child: True once a child call ended without a good answer.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        arrived_s: float,
        has_parent: bool = True,
        first_child_number: int = 1,
    ) -> None:
        """Starts without children."""
        self.context = context
        self.arrived_s = arrived_s
        self.ledger = budget_ledger.BudgetLedger(context.retry_budget)
        self.has_parent = has_parent
        self.has_failed_child = False
        self._children: set[ChildCall] = set()
        self._child_count = first_child_number - 1
        self._below_since_s = 0.0
        self._below_s = 0.0

    @property
    def below_s(self) -> float:
        """Seconds in which at least one child call was open."""
        return self._below_s

    def next_child_number(self) -> int:
        """Returns the number of a new child call, from 1."""
        self._child_count += 1
        return self._child_count

    def add_child(self, now_s: float, child: ChildCall) -> None:
        """Registers a child call that begins."""
        if not self._children:
            self._below_since_s = now_s
        self._children.add(child)

    def remove_child(self, now_s: float, child: ChildCall) -> None:
        """Takes note that a child call has ended."""
        if child not in self._children:
            return
        self._children.remove(child)
        if not self._children:
            self._below_s += now_s - self._below_since_s

    def cancel_children(self) -> None:
        """Ends every child call."""
        for child in list(self._children):
            child.cancel_by_parent()
