"""Budget of repeats that nodes share without talking to each other.

Guards against retry storms: when endpoints refuse or lose many requests, nodes
that each repeat as much as they may must together stay within the ratio and
slack of every window, including the calls that repeated call trees make.
"""

import random

import pytest

from cranberrymux.decisions.retries import repeat_budget

RATIO = 0.2
SLACK = 49.0
WINDOW_S = 10.0
NODES = 18
CANDIDATE = repeat_budget.RepeatCandidate("s")


def make_budgets(nodes=NODES, **started):
    made = []
    for _ in range(nodes):
        one = repeat_budget.RepeatBudget(RATIO, SLACK, WINDOW_S, **started)
        one.set_node_count(nodes)
        made.append(one)
    return made


@pytest.mark.parametrize("per_s", [0, 20, 400])
def test_repeats_of_all_nodes_stay_within_the_budget(per_s):
    generator = random.Random(1)
    budgets = make_budgets()
    repeats = []
    firsts = []
    for step in range(3000):
        now_s = step / 100
        for _ in range(per_s // 100 or (step % 100 < per_s)):
            generator.choice(budgets).note_first("s", now_s)
            firsts.append(now_s)
        for one in budgets:  # Every node repeats as much as it may.
            while one.take(CANDIDATE, now_s):
                repeats.append(now_s)
    for end_s in range(10, 31):
        inside = [at for at in repeats if end_s - WINDOW_S < at <= end_s]
        asked = [at for at in firsts if end_s - WINDOW_S < at <= end_s]
        assert len(inside) <= RATIO * len(asked) + SLACK


@pytest.mark.parametrize("per_s", [0, 20])
def test_nodes_that_restart_use_no_slack_twice(per_s):
    budgets = make_budgets()
    repeats = []
    firsts = []
    for step in range(3000):
        now_s = step / 100
        if step % 100 < per_s:
            budgets[step % NODES].note_first("s", now_s)
            firsts.append(now_s)
        for one in budgets:  # Every node repeats as much as it may.
            while one.take(CANDIDATE, now_s):
                repeats.append(now_s)
        if step % 400 == 399:  # All processes are killed and started again.
            budgets = make_budgets(restarted_s=now_s)
    assert repeats
    for end_s in range(10, 31):
        inside = [at for at in repeats if end_s - WINDOW_S < at <= end_s]
        asked = [at for at in firsts if end_s - WINDOW_S < at <= end_s]
        assert len(inside) <= RATIO * len(asked) + SLACK


def test_fraction_of_the_slack_is_reserved_for_more_important_work():
    one = repeat_budget.RepeatBudget(RATIO, 100.0, WINDOW_S)
    taken = 0
    while one.take(repeat_budget.RepeatCandidate("s", rank=2.0), 0.0):
        taken += 1
    assert 0 < taken < 20
    assert one.take(repeat_budget.RepeatCandidate("s", rank=-0.5), 0.0)


def test_demand_of_more_important_work_is_reserved():
    budget = repeat_budget.RepeatBudget(RATIO, 0.0, WINDOW_S)
    for step in range(2000):
        budget.note_first("s", step / 100)
    now_s = 20.0
    important = repeat_budget.RepeatCandidate("s", rank=-0.5)
    unimportant = repeat_budget.RepeatCandidate("s", rank=1.5)
    assert budget.take(unimportant, now_s)
    for _ in range(60):
        assert budget.take(important, now_s)
    assert not budget.take(unimportant, now_s)
    taken = 0
    while budget.take(important, now_s):
        taken += 1
    assert taken > 100


def test_requests_of_the_window_before_count_when_callers_send_less():
    """A service deep in the tree refuses, so its callers fail and send less."""
    budget = repeat_budget.RepeatBudget(RATIO, 0.0, WINDOW_S)
    for step in range(1500):
        budget.note_first("s", step / 100)
    taken = 0
    for step in range(1500, 2000):
        if step % 20 == 0:
            budget.note_first("s", step / 100)
        while budget.take(CANDIDATE, step / 100):
            taken += 1
    assert taken > 0.7 * RATIO * 1000


@pytest.mark.parametrize("seed", range(6))
def test_every_window_stays_within_the_budget_under_changing_load(seed):
    """Checks each window under random changes of traffic and failures."""
    generator = random.Random(seed)
    budgets = make_budgets(6)
    firsts = [0] * 700
    repeats = [0] * 700
    per_step = repeat_chance = 0.0
    for step in range(700):  # Steps of 0.1 s.
        if step % 40 == 0:
            per_step = generator.choice((0, 1, 10, 40))
            repeat_chance = generator.choice((0.0, 0.1, 0.5, 1.0))
        now_s = step / 10
        for _ in range(int(per_step)):
            budget = generator.choice(budgets)
            budget.note_first("s", now_s)
            firsts[step] += 1
            while generator.random() < repeat_chance:
                if not budget.take(CANDIDATE, now_s):
                    break
                repeats[step] += 1
    for end in range(200, 700):
        allowed = max(
            sum(firsts[end - ago - 100 : end - ago]) for ago in (0, 50, 100)
        )
        seen = sum(repeats[end - 100 : end])
        assert seen <= RATIO * allowed + SLACK
    assert sum(repeats) > 0.05 * sum(firsts)


def test_calls_of_repeated_trees_count_as_repeats():
    budget = repeat_budget.RepeatBudget(RATIO, SLACK, WINDOW_S)
    budget.mark_tree_route("tree")
    calls = 10
    trees = 2000
    tree_repeats = 0
    deep_repeats = 0
    for _ in range(trees):
        budget.note_first("front", 0.0, "tree")
        is_repeated = budget.take(
            repeat_budget.RepeatCandidate("front", route="tree"), 0.0
        )
        for _ in range(calls):
            budget.note_first("deep", 0.0)
            if is_repeated:
                budget.note_repeated_call("deep", 0.0)
            deep_repeats += budget.take(
                repeat_budget.RepeatCandidate("deep"), 0.0
            )
        tree_repeats += is_repeated
    assert tree_repeats > 0.02 * trees
    spent = deep_repeats + calls * tree_repeats
    assert spent <= RATIO * calls * trees + SLACK
