"""How a caller chooses an endpoint."""

from typing import Protocol

from bench.overload import call
from bench.overload import node as node_module
from cranberrymux.models import endpoint_record


class Chooser(Protocol):
    """The endpoints of one service as one caller knows them."""

    def choose(
        self, request: call.Request, tried: frozenset[str]
    ) -> "node_module.Node | None":
        """Chooses an endpoint that was not tried; None if none takes it."""

    def started(self, node: "node_module.Node") -> None:
        """Counts a call that is sent."""

    def ended(
        self, node: "node_module.Node", answer: call.Answer, latency_s: float
    ) -> None:
        """Learns from an answer."""

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Takes news from the directory."""
