"""A call that the backend server beside this node runs."""

from typing import Protocol

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
        budget_left: Retries that are left for its child calls.
    """

    def __init__(
        self, context: request_context.RequestContext, arrived_s: float
    ) -> None:
        """Starts without children."""
        self.context = context
        self.arrived_s = arrived_s
        self.budget_left = context.retry_budget
        self._children: set[ChildCall] = set()
        self._child_count = 0
        self._below_since_s = 0.0
        self._below_s = 0.0

    @property
    def below_s(self) -> float:
        """Seconds in which at least one child call was open."""
        return self._below_s

    def add_child(self, now_s: float, child: ChildCall) -> int:
        """Registers a child call; returns its number, from 1."""
        if not self._children:
            self._below_since_s = now_s
        self._children.add(child)
        self._child_count += 1
        return self._child_count

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
