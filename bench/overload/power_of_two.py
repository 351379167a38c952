"""The baselines' choice: power of two by outstanding work or by load."""

import random

from bench.overload import call
from bench.overload import node as node_module
from cranberrymux.models import endpoint_record


class PowerOfTwo:
    """Knows outstanding work and, once the directory tells, who is down."""

    def __init__(
        self,
        generator: random.Random,
        nodes: "list[node_module.Node]",
        by_load: bool,
    ) -> None:
        """Knows every endpoint; `by_load` trusts the load endpoints."""
        self._generator = generator
        self._nodes = nodes
        self._by_load = by_load
        self._outstanding = dict.fromkeys(nodes, 0)

    def choose(
        self, request: call.Request, tried: frozenset[str]
    ) -> "node_module.Node | None":
        """Chooses the better of two."""
        del request
        usable = [
            one
            for one in self._nodes
            if one.endpoint_id not in tried and not one.is_known_down
        ]
        if not usable:
            return None
        first = self._generator.choice(usable)
        second = self._generator.choice(usable)
        return first if self._cost(first) <= self._cost(second) else second

    def started(self, node: "node_module.Node") -> None:
        """Counts a call that is sent."""
        self._outstanding[node] += 1

    def ended(
        self, node: "node_module.Node", answer: call.Answer, latency_s: float
    ) -> None:
        """Counts an answer."""
        del answer, latency_s
        self._outstanding[node] -= 1

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Needs no news."""

    def _cost(self, node: "node_module.Node") -> float:
        return node.hint if self._by_load else self._outstanding[node]
