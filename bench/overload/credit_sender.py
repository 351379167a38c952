"""Baseline admission by credits, at the caller."""

import bisect
from collections.abc import Callable
import itertools

from bench.overload import clock as clock_module
from bench.overload import node as node_module

MAXIMUM_WAIT_S = 0.25


class CreditSender:
    """Sends calls to endpoints that it has credits for.

    Calls without a credit wait in order of priority, at most `MAXIMUM_WAIT_S`.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        nodes: "list[node_module.Node]",
    ) -> None:
        """Starts with one credit for each endpoint."""
        self._clock = clock
        self._outstanding = dict.fromkeys(nodes, 0)
        self._shares = dict.fromkeys(nodes, 1)
        self._waiting: list[
            tuple[int, int, Callable[[node_module.Node | None], None]]
        ] = []
        self._sequence = itertools.count()

    def submit(
        self,
        priority: int,
        send: Callable[["node_module.Node | None"], None],
    ) -> None:
        """Calls `send` once an endpoint with a free credit is found.

        Args:
            priority: Priority number; the lowest is sent first.
            send: Called with the endpoint, or with None after
                `MAXIMUM_WAIT_S` without a credit.
        """
        node = self._find_endpoint()
        if node is not None:
            self._outstanding[node] += 1
            send(node)
            return
        entry = (priority, next(self._sequence), send)
        bisect.insort(self._waiting, entry)
        self._clock.call_later(MAXIMUM_WAIT_S, self._give_up, entry)

    def ended(self, node: "node_module.Node") -> None:
        """Handles an answer, which returns a credit and updates the share."""
        self._outstanding[node] -= 1
        self._shares[node] = node.credits.get_share(self._clock.now_s, id(self))
        while self._waiting:
            free = self._find_endpoint()
            if free is None:
                return
            self._outstanding[free] += 1
            self._waiting.pop(0)[2](free)

    def _find_endpoint(self) -> "node_module.Node | None":
        free = [
            node
            for node, share in self._shares.items()
            if self._outstanding[node] < share and not node.is_known_down
        ]
        if not free:
            return None
        return min(
            free, key=lambda node: self._outstanding[node] / self._shares[node]
        )

    def _give_up(
        self,
        entry: tuple[int, int, Callable[["node_module.Node | None"], None]],
    ) -> None:
        index = bisect.bisect_left(
            self._waiting, entry[:2], key=lambda waiting: waiting[:2]
        )
        if index < len(self._waiting) and self._waiting[index] is entry:
            del self._waiting[index]
            entry[2](None)
