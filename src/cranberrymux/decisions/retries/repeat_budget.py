"""This node's share of the repeats that all nodes together may send.

Guards against retry storms when endpoints refuse or lose a large part of their
requests: within a window, the repeats to a service stay in proportion to its
first requests. First requests of an earlier window count as well. Otherwise a
service whose callers send less because their call trees fail early would lose
its budget just when the repeats are needed.
"""

import math
from typing import NamedTuple

from cranberrymux.decisions.retries import arrival_window
from cranberrymux.decisions.retries import repeat_order

# Fraction of the budget in use. The rest is a margin, because the nodes do not
# learn of a change of their shares at the same time.
USED_FRACTION = 0.9
# Part of the time until the repeats of the window can be sent again for which
# the demand of work that comes first is reserved. Refusals that end earlier
# leave what is reserved unused: at 0.2 refused for 8.5 s, a ratio of 1.0
# completes 0.82 of the trees, 0.6 completes 0.88.
RESERVED_WAIT_RATIO = 0.6
MINIMUM_RESERVED_S = 1.0
# Runs that need more calls than this are not told apart.
MAXIMUM_REMAINING_CALLS = 16
# Fraction of the slack that is reserved for more important work, per rank step.
RESERVED_FRACTION_PER_RANK = 0.35
MAXIMUM_RESERVED_FRACTION = 0.8
# Fraction of the ratio for repeats of requests that make calls themselves.
TREE_FRACTION = 0.25
MAXIMUM_TREE_TOKENS = 2.0


class RepeatCandidate(NamedTuple):
    """A request for which the budget is asked for one repeat.

    Attributes:
        service: The service that the repeat would go to.
        rank: Priority rank of the work; lower is more important.
        route: Route of the request if a repeat would also repeat the calls
            that the request makes; empty otherwise.
        remaining_calls: Calls that the run which makes the request still needs
            to end, this one included; at least 1.
        is_whole: True if the request is no call of a run and makes none.
    """

    service: str
    rank: float = 0.0
    route: str = ""
    remaining_calls: int = 1
    is_whole: bool = False

    @property
    def order(self) -> repeat_order.RepeatOrder:
        """Decides which requests get repeats before it."""
        return repeat_order.RepeatOrder(
            self.rank,
            min(self.remaining_calls, MAXIMUM_REMAINING_CALLS),
            self.is_whole,
        )


class RepeatBudget:
    """Limits the repeats to each service in proportion to its requests.

    Repeating a request that makes calls also repeats those calls, at services
    whose budget is spent by other nodes. The repeats of such call trees
    therefore also need a token of a small budget per route, and the calls
    that they cause are counted as repeats by `note_repeated_call`.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        restarted_s: float = -math.inf,
    ) -> None:
        """Creates a budget for a single node; see `set_node_count`.

        Args:
            ratio: Repeats for each first request, over all nodes.
            slack: Repeats beyond that in a window, over all nodes.
            window_s: Length of the window in seconds.
            restarted_s: Monotonic seconds at which the node was started again,
                if it was. Its earlier process may have used up its share of
                the slack in the window.
        """
        self._slack_from_s = restarted_s + window_s
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._node_count = 1
        self._windows: dict[str, arrival_window.ArrivalWindow] = {}
        # By route; holds only routes whose requests are known to make calls.
        self._tree_tokens: dict[str, float] = {}

    def set_node_count(self, node_count: int) -> None:
        """Sets the number of nodes that share the slack; at least 1."""
        self._node_count = max(node_count, 1)

    def mark_tree_route(self, route: str) -> None:
        """Marks a route as one whose requests make calls."""
        self._tree_tokens.setdefault(route, 0.0)

    def note_first(self, service: str, now_s: float, route: str = "") -> None:
        """Counts a request that is sent to an endpoint for the first time."""
        self._find_window(service).note_first(now_s)
        tree_tokens = self._tree_tokens.get(route)
        if tree_tokens is not None:
            tree_tokens += TREE_FRACTION * self._ratio
            self._tree_tokens[route] = min(tree_tokens, MAXIMUM_TREE_TOKENS)

    def note_repeated_call(self, service: str, now_s: float) -> None:
        """Counts a call that is made because its call tree is repeated."""
        self._find_window(service).note_repeat(now_s)

    def take(self, candidate: RepeatCandidate, now_s: float) -> bool:
        """Takes one repeat; returns False if the budget does not allow it.

        A fraction of the slack is reserved for more important work. So is the
        demand, until the repeats of the window can be sent again, of work that
        comes first (`RepeatOrder`): of more important work and, among equals,
        of runs that need fewer further calls. A repeat for these completes more
        call trees, where an even split would complete hardly any.

        Args:
            candidate: The request to repeat.
            now_s: Monotonic seconds.
        """
        tree_tokens = self._tree_tokens.get(candidate.route)
        if tree_tokens is not None and tree_tokens < 1.0:
            return False
        window = self._find_window(candidate.service)
        order = candidate.order
        window.note_demand(now_s, order)
        slack = 0.0
        if now_s >= self._slack_from_s:
            slack = USED_FRACTION * self._slack / self._node_count
        headroom = window.headroom(now_s, USED_FRACTION * self._ratio, slack)
        reserved_fraction = min(
            MAXIMUM_RESERVED_FRACTION,
            RESERVED_FRACTION_PER_RANK * max(candidate.rank + 0.5, 0.0),
        )
        reserved_s = max(
            RESERVED_WAIT_RATIO * window.get_return_wait_s(now_s),
            MINIMUM_RESERVED_S,
        )
        reserved = reserved_s * window.demand_per_s(now_s, order)
        if headroom < 1.0 + reserved + reserved_fraction * slack:
            return False
        window.note_repeat(now_s)
        if tree_tokens is not None:
            self._tree_tokens[candidate.route] = tree_tokens - 1.0
        return True

    def _find_window(self, service: str) -> arrival_window.ArrivalWindow:
        found = self._windows.get(service)
        if found is None:
            found = arrival_window.ArrivalWindow(self._window_s)
            self._windows[service] = found
        return found
