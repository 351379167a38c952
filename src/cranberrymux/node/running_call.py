"""A call that the backend server is running, with its child calls."""

from typing import Protocol

from cranberrymux.decisions.retries import budget_ledger
from cranberrymux.models import request_context


class ChildCall(Protocol):
    """A call that the backend server made on behalf of a running call."""

    def cancel_by_parent(self) -> None:
        """Cancels the call because its parent call has ended."""


class RunningCall:
    """Context, retry budget and open child calls of a parent call.

    Attributes:
        context: Context of the call.
        arrived_s: Monotonic seconds to which `context.timeout_ms` refers.
        ledger: Retry budget that its child calls share.
        has_parent: False if this is a placeholder for a parent that is not
            running at this node, whose child call gets no retries.
        has_failed_child: True once a child call has ended without an answer of
            kind `DONE`.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        arrived_s: float,
        has_parent: bool = True,
        first_child_number: int = 1,
    ) -> None:
        """Starts without child calls.

        Args:
            context: Context of the call.
            arrived_s: Monotonic seconds to which `context.timeout_ms` refers.
            has_parent: See the attribute.
            first_child_number: Number of the first child call.
        """
        self.context = context
        self.arrived_s = arrived_s
        self.ledger = budget_ledger.BudgetLedger(context.retry_budget)
        self.has_parent = has_parent
        self.has_failed_child = False
        self._children: set[ChildCall] = set()
        self._last_child_number = first_child_number - 1
        self._downstream_since_s = 0.0
        self._downstream_s = 0.0

    @property
    def downstream_s(self) -> float:
        """Seconds in which at least one child call was open.

        A period that has not ended is not included.
        """
        return self._downstream_s

    def next_child_number(self) -> int:
        """Returns the number of a new child call; numbers ascend by 1."""
        self._last_child_number += 1
        return self._last_child_number

    def add_child(self, now_s: float, child: ChildCall) -> None:
        """Adds an open child call."""
        if not self._children:
            self._downstream_since_s = now_s
        self._children.add(child)

    def remove_child(self, now_s: float, child: ChildCall) -> None:
        """Removes a child call that has ended; ignored if it is not open."""
        if child not in self._children:
            return
        self._children.remove(child)
        if not self._children:
            self._downstream_s += now_s - self._downstream_since_s

    def cancel_children(self) -> None:
        """Cancels every open child call."""
        for child in list(self._children):
            child.cancel_by_parent()
