"""Baseline choice of an endpoint, the better of two random ones."""

import random

from bench.overload import call
from bench.overload import node as node_module
from cranberrymux.models import endpoint_record


class PowerOfTwo:
    """Compares two random endpoints by calls in flight or reported load.

    Endpoints that are announced as down are left out.
    """

    def __init__(
        self,
        generator: random.Random,
        nodes: "list[node_module.Node]",
        by_load: bool,
    ) -> None:
        """Creates a chooser among all endpoints of a service.

        Args:
            generator: Source of random choices.
            nodes: All endpoints of the service.
            by_load: True to compare reported load, False to compare this
                caller's calls in flight.
        """
        self._generator = generator
        self._nodes = nodes
        self._by_load = by_load
        self._outstanding = dict.fromkeys(nodes, 0)

    def choose(
        self, request: call.Request, tried: frozenset[str]
    ) -> "node_module.Node | None":
        """Returns the better of two random endpoints; None if none is left."""
        del request
        usable = [
            node
            for node in self._nodes
            if node.endpoint_id not in tried and not node.is_known_down
        ]
        if not usable:
            return None
        first = self._generator.choice(usable)
        second = self._generator.choice(usable)
        return first if self._cost(first) <= self._cost(second) else second

    def call_started(self, node: "node_module.Node") -> None:
        """Counts an attempt sent to an endpoint as in flight."""
        self._outstanding[node] += 1

    def call_finished(
        self, node: "node_module.Node", answer: call.Answer, latency_s: float
    ) -> None:
        """Counts an attempt as no longer in flight."""
        del answer, latency_s
        self._outstanding[node] -= 1

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Ignores records; `choose` reads what each node announced."""

    def _cost(self, node: "node_module.Node") -> float:
        return node.load_hint if self._by_load else self._outstanding[node]
