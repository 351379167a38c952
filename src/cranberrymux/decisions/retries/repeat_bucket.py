"""This node's part of the repeats that all nodes together may send.

A repeat of a request that makes calls repeats those, too, at services whose
budget other nodes spend. So the repeats of such trees have a small budget of
their own, and nodes are told which calls are due to them.
"""

from typing import NamedTuple

KEPT_PER_RANK = 0.3  # Part of the tokens kept from each lower rank.
MOST_KEPT = 0.8
TREE_PART = 0.25  # Of the ratio, for repeats of requests that make calls.
MOST_TREE_TOKENS = 2.0


class Wish(NamedTuple):
    """A request that is to be sent once more.

    Attributes:
        service: The service that would get it.
        rank: Importance of the work, lowest first.
        route: Its route, if a repeat repeats the calls that it makes.
    """

    service: str
    rank: float = 0.0
    route: str = ""


class RepeatBucket:
    """A token bucket for each service, filled by first requests."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Starts with the slack of one node.

        Args:
            ratio: Repeats for each first request, summed over all nodes.
            slack: Repeats beyond that in a window, summed over all nodes.
            window_s: Length of the window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._nodes = 1
        self._tokens: dict[str, tuple[float, float]] = {}
        # By route; a route is not here before it is known to make calls.
        self._tree_tokens: dict[str, float] = {}

    def set_nodes(self, nodes: int) -> None:
        """Takes the count of nodes that share the slack."""
        self._nodes = max(nodes, 1)

    def note_tree(self, route: str) -> None:
        """Takes note that the requests of a route make calls."""
        self._tree_tokens.setdefault(route, 0.0)

    def note_first(self, service: str, now_s: float, route: str = "") -> None:
        """Counts a request that goes to an endpoint for the first time."""
        self._add(service, now_s, self._ratio)
        tree_tokens = self._tree_tokens.get(route)
        if tree_tokens is not None:
            tree_tokens += TREE_PART * self._ratio
            self._tree_tokens[route] = min(tree_tokens, MOST_TREE_TOKENS)

    def note_repeated_call(self, service: str, now_s: float) -> None:
        """Counts a call that is made because its tree runs once more."""
        self._add(service, now_s, -1.0)

    def take(self, wish: Wish, now_s: float) -> bool:
        """Takes a repeat; False if none is left for this wish.

        A part of the tokens is kept for what is more important, so that
        under many refusals some trees end rather than none.
        """
        tree_tokens = self._tree_tokens.get(wish.route)
        if tree_tokens is not None and tree_tokens < 1.0:
            return False
        tokens = self._refill(wish.service, now_s)
        kept = min(MOST_KEPT, KEPT_PER_RANK * max(wish.rank + 0.5, 0.0))
        if tokens < 1.0 + kept * self._share:
            return False
        self._tokens[wish.service] = (tokens - 1.0, now_s)
        if tree_tokens is not None:
            self._tree_tokens[wish.route] = tree_tokens - 1.0
        return True

    @property
    def _share(self) -> float:
        return self._slack / self._nodes / 2  # Full at the start, and refilled.

    def _add(self, service: str, now_s: float, added: float) -> None:
        tokens = self._refill(service, now_s)
        most = self._share + 1.0 + MOST_KEPT
        self._tokens[service] = (min(tokens + added, most), now_s)

    def _refill(self, service: str, now_s: float) -> float:
        share = self._share
        tokens, at_s = self._tokens.get(service, (share, now_s))
        filled = tokens + (now_s - at_s) * share / self._window_s
        tokens = max(tokens, min(filled, share))
        self._tokens[service] = (tokens, now_s)
        return tokens
