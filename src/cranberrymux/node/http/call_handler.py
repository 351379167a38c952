"""Interface of the code that answers the calls of a listening port."""

from typing import Protocol

from cranberrymux.node.http import inbound_call


class CallHandler(Protocol):
    """Answers inbound calls, possibly later and after more of the body."""

    def handle_call(self, call: "inbound_call.InboundCall") -> None:
        """Takes a call whose head, and body if it is short, has been read.

        Args:
            call: The call; to be answered by its own methods.
        """
