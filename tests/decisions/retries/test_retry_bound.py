"""Retries over random call trees never exceed the root budget.

Guards against retry amplification, where each hop of a call tree retries on its
own and the attempts multiply. The property test is also run with one rule of
the ledger removed at a time, and must then fail.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from bench import retry_trees
from cranberrymux.decisions.retries import budget_ledger
from cranberrymux.decisions.retries import half_allotment
from cranberrymux.decisions.retries import single_allotment
from cranberrymux.decisions.retries import whole_allotment
from tests import profiles

CHANCES = strategies.sampled_from([0.0, 0.1, 0.4])
FAULTS = strategies.builds(
    retry_trees.FaultProbabilities,
    *[CHANCES] * len(retry_trees.FaultProbabilities._fields),
)
POLICIES = strategies.sampled_from(
    [
        half_allotment.HalfAllotment(),
        single_allotment.SingleAllotment(),
        whole_allotment.WholeAllotment(),
    ]
)
REQUESTS = strategies.tuples(
    FAULTS,
    POLICIES,
    strategies.integers(0, 8),
    strategies.sampled_from([2, 3, 6]),
    strategies.integers(0, 2**32),
)


def count_calls(node):
    return sum(1 + count_calls(child) for child in node.children)


def check(request, ledger_type):
    faults, policy, budget, maximum_attempts, seed = request
    generator = random.Random(seed)
    tree = retry_trees.make_random_tree(generator, generator.randint(1, 4))
    run = retry_trees.TreeRun(
        generator,
        faults,
        lambda share: ledger_type(share, policy),
        maximum_attempts=maximum_attempts,
    )
    tally = run.run(tree, budget)
    assert tally.retries <= budget
    if faults.lost == 0.0:
        assert tally.first_attempts <= count_calls(tree)


@profiles.DETERMINISTIC
@hypothesis.given(REQUESTS)
def test_retries_keep_to_the_root_budget(request_):
    check(request_, budget_ledger.BudgetLedger)


class AllotsWithoutDeducting(budget_ledger.BudgetLedger):
    def allot(self, now_s, child_call_id, attempt=1):
        share = super().allot(now_s, child_call_id, attempt)
        self._remaining += share
        return share


class SpendsWithoutDeducting(budget_ledger.BudgetLedger):
    def spend(self):
        return self.remaining > 0


class TakesBackMoreThanTheShare(budget_ledger.BudgetLedger):
    def give_back(self, child_call_id, unspent, attempt=1):
        self._shares.pop((child_call_id, attempt), 0)
        self._remaining += unspent


class TakesBackShareTwice(budget_ledger.BudgetLedger):
    def give_back(self, child_call_id, unspent, attempt=1):
        key = (child_call_id, attempt)
        share = self._shares.get(key, 0)
        super().give_back(child_call_id, unspent, attempt)
        if share:
            self._shares[key] = share


class RefillsLostShares(budget_ledger.BudgetLedger):
    def spend(self):
        self._remaining += sum(self._shares.values())
        return super().spend()


class SpendsAfterClose(budget_ledger.BudgetLedger):
    def close(self):
        return self.remaining

    @property
    def remaining(self):
        return self._remaining


@pytest.mark.parametrize(
    "ledger_type",
    [
        AllotsWithoutDeducting,
        SpendsWithoutDeducting,
        TakesBackMoreThanTheShare,
        TakesBackShareTwice,
        RefillsLostShares,
        SpendsAfterClose,
    ],
)
def test_property_fails_for_a_faulty_ledger(ledger_type):
    @profiles.SEARCHING
    @hypothesis.given(REQUESTS)
    def check_quickly(request_):
        check(request_, ledger_type)

    with pytest.raises(AssertionError):
        check_quickly()
