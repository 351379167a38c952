"""A service that refuses 0.55 of its calls at random while slots are idle.

Guards against repeats that are spent in order of arrival: a tree of four calls
then seldom gets all the repeats that it needs, and most repeats go to trees
that fail later.
"""

import bisect
from collections.abc import Callable
from collections.abc import Collection
import functools

import pytest

from cranberrymux.decisions.retries import repeat_budget
from tests.decisions.retries import refusal_simulation

REFUSED = 0.55
SEEDS = (1, 2)
EQUAL_RANKS = (-0.5,)
_Order = tuple[float, int]


class ArrivalRule:
    """Spends repeats in order of arrival, on some of the calls.

    Args:
        budget: The budget of the node.
        orders: Rank and remaining calls of those that are repeated; None for
            all.
    """

    def __init__(
        self,
        budget: repeat_budget.RepeatBudget,
        orders: Collection[_Order] | None = None,
    ) -> None:
        self._budget = budget
        self._orders = orders

    def note_first(self, service: str, now_s: float) -> None:
        self._budget.note_first(service, now_s)

    def take(
        self, candidate: repeat_budget.RepeatCandidate, now_s: float
    ) -> bool:
        order = (candidate.rank, candidate.remaining_calls)
        if self._orders is not None and order not in self._orders:
            return False
        equal = repeat_budget.RepeatCandidate(candidate.service, -0.5)
        return self._budget.take(equal, now_s)


def simulate(
    make_rule: Callable[[repeat_budget.RepeatBudget], refusal_simulation.Rule],
    ranks: tuple[float, ...] = refusal_simulation.RANKS,
    refused: float = REFUSED,
) -> list[refusal_simulation.Result]:
    return [
        refusal_simulation.RefusalSimulation(
            [make_rule(budget) for budget in refusal_simulation.make_budgets()],
            refused,
            seed,
            ranks,
        ).run()
        for seed in SEEDS
    ]


def count_complete(results: list[refusal_simulation.Result]) -> int:
    return sum(sum(result.complete.values()) for result in results)


def count_share(results: list[refusal_simulation.Result], rank: float) -> float:
    complete = sum(result.complete[rank] for result in results)
    return complete / sum(result.begun[rank] for result in results)


def find_best_static(ranks: tuple[float, ...]) -> int:
    """Returns the complete trees under the best fixed threshold.

    Each repeats only calls up to some rank and, in this, up to some number of
    remaining calls.
    """
    orders = [
        (rank, remaining)
        for rank in ranks
        for remaining in range(1, refusal_simulation.CALLS + 1)
    ]
    return max(
        count_complete(
            simulate(
                functools.partial(ArrivalRule, orders=orders[:length]), ranks
            )
        )
        for length in range(1, len(orders) + 1)
    )


@pytest.mark.parametrize("ranks", [EQUAL_RANKS, refusal_simulation.RANKS])
def test_completes_more_trees_than_fixed_rules(ranks):
    complete = count_complete(simulate(lambda budget: budget, ranks))
    assert complete > 1.05 * count_complete(simulate(ArrivalRule, ranks))
    assert complete >= 0.9 * find_best_static(ranks)


def test_the_most_important_trees_get_the_repeats_first():
    results = simulate(lambda budget: budget)
    shares = [count_share(results, rank) for rank in refusal_simulation.RANKS]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] > 0.5  # 0.36 with a reserve by rank only.


def test_repeats_stay_within_the_limit_in_any_window():
    """Requests of a window that began up to a window earlier count, too."""
    for result in simulate(lambda budget: budget):
        for end_s in result.repeats_s:
            repeats = _count_within(result.repeats_s, end_s)
            sends = max(
                _count_within(result.sends_s, end_s - ago_s)
                for ago_s in (
                    0.0,
                    refusal_simulation.WINDOW_S / 2,
                    refusal_simulation.WINDOW_S,
                )
            )
            limit = refusal_simulation.RATIO * sends + refusal_simulation.SLACK
            assert repeats <= limit


@pytest.mark.parametrize("refused", [0.05, 0.1])
def test_no_repeat_is_withheld_while_they_are_plentiful(refused):
    """Guards against a reserve that leaves trees without repeats needlessly."""
    for result in simulate(lambda budget: budget, refused=refused):
        begun = sum(result.begun.values())
        assert sum(result.complete.values()) >= 0.998 * begun


def test_a_run_with_fewer_remaining_calls_gets_the_last_repeats():
    budget = repeat_budget.RepeatBudget(0.2, 0.0, 10.0)
    for step in range(2000):
        budget.note_first("s", step / 100)
    late = repeat_budget.RepeatCandidate("s", remaining_calls=1)
    early = repeat_budget.RepeatCandidate("s", remaining_calls=4)
    while budget.take(late, 20.0):
        if not budget.take(early, 20.0):
            break
    assert budget.take(late, 20.0)


def _count_within(times_s: list[float], end_s: float) -> int:
    """Counts the times in the window that ends at `end_s`; they are sorted."""
    from_s = end_s - refusal_simulation.WINDOW_S
    return bisect.bisect_right(times_s, end_s) - bisect.bisect_right(
        times_s, from_s
    )
