"""Table of the calls at the ingress port that are not answered yet."""

from typing import Protocol

from cranberrymux.models import request_context
from cranberrymux.node.http import inbound_call


class OpenCall(Protocol):
    """A call that is not answered yet, which resends can join."""

    @property
    def context(self) -> request_context.RequestContext:
        """Context of the call."""

    def is_same_request(
        self,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
    ) -> bool:
        """True if a resend has the same principal, method, target and body."""

    def join(self, call: inbound_call.InboundCall) -> None:
        """Adds a resend, which gets the same answer."""


class IngressCalls:
    """Open calls by request id and call id, to find the call of a resend."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._calls: dict[tuple[str, str], OpenCall] = {}

    def __len__(self) -> int:
        """Returns the number of open calls."""
        return len(self._calls)

    def add(self, call: OpenCall) -> None:
        """Adds a new call."""
        context = call.context
        self._calls[context.request_id, context.call_id] = call

    def remove(self, call: OpenCall) -> None:
        """Removes a call that has ended, unless its ids belong to another."""
        context = call.context
        if self._calls.get((context.request_id, context.call_id)) is call:
            del self._calls[context.request_id, context.call_id]

    def find(self, context: request_context.RequestContext) -> OpenCall | None:
        """Returns the open call with the ids of a context; None if none."""
        return self._calls.get((context.request_id, context.call_id))
