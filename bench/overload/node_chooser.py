"""Interface for a caller's choice of an endpoint of one service."""

from typing import Protocol

from bench.overload import call
from bench.overload import node as node_module
from cranberrymux.models import endpoint_record


class NodeChooser(Protocol):
    """Chooses among the endpoints of one service, for one caller."""

    def choose(
        self, request: call.Request, tried: frozenset[str]
    ) -> "node_module.Node | None":
        """Returns the endpoint for the next attempt of a call.

        Args:
            request: Request that the call is part of.
            tried: Ids of the endpoints of earlier attempts; not chosen again.

        Returns:
            The chosen endpoint; None if no endpoint accepts the call.
        """

    def call_started(self, node: "node_module.Node") -> None:
        """Counts an attempt sent to an endpoint as in flight."""

    def call_finished(
        self, node: "node_module.Node", answer: call.Answer, latency_s: float
    ) -> None:
        """Learns from the answer to an attempt."""

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Applies a new record of an endpoint."""
