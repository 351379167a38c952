"""Simulates trees whose deepest service refuses a part of its calls at random.

Models only what the budget of repeats depends on: the nodes that call the
service, one after another for each tree, while its slots are idle.
"""

from collections.abc import Callable
from collections.abc import Sequence
import heapq
import itertools
import random
from typing import NamedTuple
from typing import Protocol

from cranberrymux.decisions.retries import repeat_budget

RATIO = 0.2
SLACK = 86.0
WINDOW_S = 10.0
NODES = 51
CALLERS = 40  # Nodes beside the services that call the deepest one.
CALLS = 4
CALL_S = 0.1
BETWEEN_S = 0.03
REFUSAL_S = 0.004  # Time after which a refusal is known.
TIMEOUT_S = 2.0
TREES_PER_S = 400.0
RANKS = (-0.5, 0.5, 1.5)
RANK_WEIGHTS = (0.2, 0.3, 0.5)
WHOLE_RANK = 0.5  # Of requests that are one call each, if there are any.
REFUSES_FROM_S = 21.0
REFUSES_FOR_S = 8.5
MAXIMUM_REFUSALS = 8
SERVICE = "deep"


class Rule(Protocol):
    """Decides at one node which refused calls are repeated."""

    def note_first(self, service: str, now_s: float) -> None:
        """Counts a call that is sent for the first time."""

    def take(
        self, candidate: repeat_budget.RepeatCandidate, now_s: float
    ) -> bool:
        """Takes one repeat; returns False if it is not to be sent."""


class Result(NamedTuple):
    """What the simulation counted.

    Attributes:
        complete: Trees by rank that began during the refusals and ended whole.
        begun: All trees by rank that began during the refusals.
        sends_s: Times at which calls were first sent.
        repeats_s: Times of the repeats.
    """

    complete: dict[float, int]
    begun: dict[float, int]
    sends_s: list[float]
    repeats_s: list[float]


class _Tree:
    """A tree in progress."""

    __slots__ = (
        "calls",
        "deadline_s",
        "done",
        "is_counted",
        "is_whole",
        "node",
        "rank",
        "refusals",
    )

    def __init__(
        self,
        node: int,
        rank: float,
        deadline_s: float,
        is_counted: bool,
        is_whole: bool = False,
    ) -> None:
        self.node = node
        self.rank = rank
        self.deadline_s = deadline_s
        self.is_counted = is_counted
        self.is_whole = is_whole
        self.calls = 1 if is_whole else CALLS
        self.done = 0
        self.refusals = 0


class RefusalSimulation:
    """Runs trees of `CALLS` calls against the rules of all nodes."""

    def __init__(
        self,
        rules: Sequence[Rule],
        refused: float,
        seed: int,
        ranks: Sequence[float] = RANKS,
        admitted: float = 1.0,
        whole_per_s: float = 0.0,
    ) -> None:
        """Prepares the simulation.

        Args:
            rules: Rule of each node that calls the service.
            refused: Share of the calls that is refused while it refuses.
            seed: Seed of all that is random.
            ranks: Ranks of the trees, at most as many as `RANK_WEIGHTS`.
            admitted: Share of the trees that begin while it refuses.
            whole_per_s: Requests of `WHOLE_RANK` that are one call each.
        """
        self._rules = rules
        self._refused = refused
        self._random = random.Random(seed)
        self._ranks = ranks
        self._admitted = admitted
        self._whole_per_s = whole_per_s
        self._now_s = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._result = Result(
            dict.fromkeys(ranks, 0), dict.fromkeys(ranks, 0), [], []
        )
        if whole_per_s:
            self._result.complete[WHOLE_RANK] = 0
            self._result.begun[WHOLE_RANK] = 0

    def run(self) -> Result:
        """Runs until 2 s after the refusals; returns what was counted."""
        length_s = REFUSES_FROM_S + REFUSES_FOR_S + 2.0
        self._at(0.0, self._arrive)
        if self._whole_per_s:
            self._at(0.0, self._arrive_whole)
        while self._events and self._events[0][0] <= length_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self._result

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self._now_s + delay_s, next(self._order), action)
        )

    @property
    def _is_refusing(self) -> bool:
        return 0.0 <= self._now_s - REFUSES_FROM_S < REFUSES_FOR_S

    def _arrive(self) -> None:
        weights = RANK_WEIGHTS[: len(self._ranks)]
        rank = self._random.choices(self._ranks, weights)[0]
        is_counted = self._is_refusing
        if is_counted:
            self._result.begun[rank] += 1
        if not is_counted or self._random.random() < self._admitted:
            node = self._random.randrange(len(self._rules))
            tree = _Tree(node, rank, self._now_s + TIMEOUT_S, is_counted)
            self._at(BETWEEN_S, lambda: self._call(tree, True))
        self._at(self._random.expovariate(TREES_PER_S), self._arrive)

    def _arrive_whole(self) -> None:
        is_counted = self._is_refusing
        self._result.begun[WHOLE_RANK] += is_counted
        node = self._random.randrange(len(self._rules))
        deadline_s = self._now_s + TIMEOUT_S
        tree = _Tree(node, WHOLE_RANK, deadline_s, is_counted, is_whole=True)
        self._call(tree, True)
        gap_s = self._random.expovariate(self._whole_per_s)
        self._at(gap_s, self._arrive_whole)

    def _call(self, tree: _Tree, is_first: bool) -> None:
        rule = self._rules[tree.node]
        if is_first:
            rule.note_first(SERVICE, self._now_s)
            self._result.sends_s.append(self._now_s)
        if self._is_refusing and self._random.random() < self._refused:
            self._at(REFUSAL_S, lambda: self._note_refusal(tree))
            return
        self._at(
            self._random.uniform(0.5, 1.5) * CALL_S, lambda: self._end(tree)
        )

    def _note_refusal(self, tree: _Tree) -> None:
        tree.refusals += 1
        if tree.refusals >= MAXIMUM_REFUSALS or self._now_s > tree.deadline_s:
            return
        candidate = repeat_budget.RepeatCandidate(
            SERVICE,
            tree.rank,
            remaining_calls=tree.calls - tree.done,
            is_whole=tree.is_whole,
        )
        if self._rules[tree.node].take(candidate, self._now_s):
            self._result.repeats_s.append(self._now_s)
            self._call(tree, False)

    def _end(self, tree: _Tree) -> None:
        tree.done += 1
        tree.refusals = 0
        if tree.done < tree.calls:
            self._at(BETWEEN_S, lambda: self._call(tree, True))
        elif tree.is_counted and self._now_s <= tree.deadline_s:
            self._result.complete[tree.rank] += 1


def make_budgets(callers: int = CALLERS) -> list[repeat_budget.RepeatBudget]:
    """Returns the budgets of the nodes that call the service."""
    budgets = []
    for _ in range(callers):
        budget = repeat_budget.RepeatBudget(RATIO, SLACK, WINDOW_S)
        budget.set_node_count(NODES)
        budgets.append(budget)
    return budgets
