"""The calls at ingress that have no answer yet."""

from typing import Protocol

from cranberrymux.models import request_context
from cranberrymux.node.http import inbound_call


class OpenCall(Protocol):
    """A call at ingress that has no answer yet."""

    @property
    def context(self) -> request_context.RequestContext:
        """Context of the call."""

    def is_same_request(
        self,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
    ) -> bool:
        """True if a resend asks the same thing for the same principal."""

    def join(self, call: inbound_call.InboundCall) -> None:
        """Gives a resend the same answer."""


class IngressCalls:
    """A table by request id and call id, so that a resend joins its call."""

    def __init__(self) -> None:
        """Makes an empty table."""
        self._calls: dict[tuple[str, str], OpenCall] = {}

    def __len__(self) -> int:
        """Returns how many calls have no answer yet."""
        return len(self._calls)

    def add(self, call: OpenCall) -> None:
        """Takes a new call."""
        context = call.context
        self._calls[context.request_id, context.call_id] = call

    def remove(self, call: OpenCall) -> None:
        """Takes note that a call has ended."""
        context = call.context
        if self._calls.get((context.request_id, context.call_id)) is call:
            del self._calls[context.request_id, context.call_id]

    def find(self, context: request_context.RequestContext) -> OpenCall | None:
        """Returns the open call with the ids of a context."""
        return self._calls.get((context.request_id, context.call_id))
