"""Whoever answers the calls of a server connection."""

from typing import Protocol

from cranberrymux.node.http import inbound_call


class CallHandler(Protocol):
    """Starts the work on one inbound call."""

    def handle_call(self, call: "inbound_call.InboundCall") -> None:
        """Takes a call whose head, and body if short, has been read."""
