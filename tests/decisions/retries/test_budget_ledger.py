"""Retry budget of one call, split among its child calls.

Guards against retry amplification: a share that is granted twice, returned
twice or returned larger than it was would let a call tree make more retries
than its budget.
"""

import pytest

from cranberrymux.decisions.retries import budget_ledger
from cranberrymux.decisions.retries import half_allotment
from cranberrymux.decisions.retries import single_allotment
from cranberrymux.decisions.retries import whole_allotment


@pytest.mark.parametrize(
    ("policy", "shares"),
    [
        (half_allotment.HalfAllotment(), [3, 1, 1, 0]),
        (single_allotment.SingleAllotment(), [1, 1, 1, 1]),
        (whole_allotment.WholeAllotment(), [5, 0, 0, 0]),
    ],
)
def test_parallel_child_calls_get_the_shares_of_the_policy(policy, shares):
    ledger = budget_ledger.BudgetLedger(5, policy)
    given = [ledger.allot(0.0, f"1.{number}") for number in range(4)]
    assert given == shares
    assert ledger.remaining == 5 - sum(shares)


def test_sequential_child_calls_reuse_returned_shares():
    ledger = budget_ledger.BudgetLedger(3)
    for number in range(10):
        assert ledger.allot(0.0, f"1.{number}") == 2
        ledger.give_back(f"1.{number}", 2)
    assert ledger.remaining == 3


def test_share_is_lost_when_the_answer_never_arrives():
    ledger = budget_ledger.BudgetLedger(3)
    assert ledger.allot(0.0, "1.1", 1) == 2
    assert ledger.spend()
    assert ledger.allot(0.0, "1.1", 2) == 0
    assert not ledger.spend()


def test_share_is_returned_only_once_and_at_most_in_full():
    ledger = budget_ledger.BudgetLedger(3)
    ledger.allot(0.0, "1.1")
    ledger.give_back("1.1", 50)
    ledger.give_back("1.1", 2)
    ledger.give_back("1.2", 2)
    assert ledger.remaining == 3
    ledger.allot(0.0, "1.1")
    ledger.give_back("1.1", -4)
    assert ledger.remaining == 1


def test_second_allotment_to_the_same_attempt_is_zero():
    ledger = budget_ledger.BudgetLedger(5)
    assert ledger.allot(0.0, "1.1") == 3
    assert ledger.allot(0.0, "1.1") == 0


def test_closed_ledger_neither_spends_nor_allots():
    ledger = budget_ledger.BudgetLedger(4)
    ledger.allot(0.0, "1.1")
    assert ledger.close() == 2
    ledger.give_back("1.1", 2)
    assert ledger.remaining == 0
    assert ledger.close() == 0
    assert not ledger.spend()
    assert ledger.allot(0.0, "1.2") == 0


def test_open_shares_stop_at_the_maximum():
    ledger = budget_ledger.BudgetLedger(
        5000, single_allotment.SingleAllotment()
    )
    given = [ledger.allot(0.0, f"1.{number}") for number in range(2000)]
    assert sum(given) == budget_ledger.MAXIMUM_OPEN_SHARES
    assert ledger.remaining == 5000 - budget_ledger.MAXIMUM_OPEN_SHARES
