"""Priorities that share a shortage."""

from cranberrymux.decisions.pressure import priority_groups


def demand(per_s, work_per_request):
    return priority_groups.PriorityDemand(per_s, per_s * work_per_request)


def test_priority_with_short_requests_shares_with_the_one_before_it():
    demands = {0: demand(100.0, 0.24), 1: demand(90.0, 0.05)}
    assert priority_groups.find(demands) == {0: 0, 1: 0}


def test_priorities_with_equal_requests_keep_their_order():
    demands = {0: demand(100.0, 0.24), 1: demand(90.0, 0.2)}
    assert priority_groups.find(demands) == {0: 0, 1: 1}


def test_less_important_priority_with_long_requests_comes_after_both():
    demands = {
        0: demand(100.0, 0.24),
        1: demand(90.0, 0.05),
        2: demand(400.0, 0.24),
    }
    assert priority_groups.find(demands) == {0: 0, 1: 0, 2: 2}


def test_more_important_priority_is_never_in_a_later_group():
    """A short priority joins all longer ones that come before it."""
    demands = {
        0: demand(10.0, 0.4),
        1: demand(10.0, 0.25),
        2: demand(1000.0, 0.01),
        3: demand(10.0, 0.02),
    }
    groups = priority_groups.find(demands)
    assert groups == {0: 0, 1: 0, 2: 0, 3: 3}


def test_single_priority_is_its_own_group():
    assert priority_groups.find({4: demand(1.0, 1.0)}) == {4: 4}
    assert not priority_groups.find({})
