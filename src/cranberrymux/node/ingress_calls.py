"""The calls at ingress that have no answer yet."""

from cranberrymux.models import request_context
from cranberrymux.node import ingress_call


class IngressCalls:
    """A table by request id and call id, so that a resend joins its call."""

    def __init__(self) -> None:
        """Makes an empty table."""
        self._calls: dict[tuple[str, str], ingress_call.IngressCall] = {}

    def __len__(self) -> int:
        """Returns how many calls have no answer yet."""
        return len(self._calls)

    def add(self, call: "ingress_call.IngressCall") -> None:
        """Takes a new call."""
        context = call.context
        self._calls[context.request_id, context.call_id] = call

    def remove(self, call: "ingress_call.IngressCall") -> None:
        """Takes note that a call has ended."""
        context = call.context
        if self._calls.get((context.request_id, context.call_id)) is call:
            del self._calls[context.request_id, context.call_id]

    def find(
        self, context: request_context.RequestContext
    ) -> "ingress_call.IngressCall | None":
        """Returns the open call with the ids of a context."""
        return self._calls.get((context.request_id, context.call_id))
