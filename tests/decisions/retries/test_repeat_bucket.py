"""This node's part of the shared budget of repeats."""

import random

import pytest

from cranberrymux.decisions.retries import repeat_bucket

RATIO = 0.2
SLACK = 49.0
WINDOW_S = 10.0
NODES = 18


def make_buckets(nodes=NODES):
    made = []
    for _ in range(nodes):
        one = repeat_bucket.RepeatBucket(RATIO, SLACK, WINDOW_S)
        one.set_nodes(nodes)
        made.append(one)
    return made


@pytest.mark.parametrize("per_s", [0, 20, 400])
def test_all_nodes_together_stay_within_the_budget(per_s):
    generator = random.Random(1)
    buckets = make_buckets()
    repeats = []
    firsts = []
    for step in range(3000):
        now_s = step / 100
        for _ in range(per_s // 100 or (step % 100 < per_s)):
            generator.choice(buckets).note_first("s", now_s)
            firsts.append(now_s)
        for one in buckets:  # Everyone repeats whatever is allowed.
            while one.take("s", now_s):
                repeats.append(now_s)
    for end_s in range(10, 31):
        inside = [at for at in repeats if end_s - WINDOW_S < at <= end_s]
        asked = [at for at in firsts if end_s - WINDOW_S < at <= end_s]
        assert len(inside) <= RATIO * len(asked) + SLACK


def test_keeps_a_part_for_what_is_more_important():
    one = repeat_bucket.RepeatBucket(RATIO, 100.0, WINDOW_S)
    taken = 0
    while one.take("s", 0.0, rank=2.0):
        taken += 1
    assert 0 < taken < 20
    assert one.take("s", 0.0, rank=-0.5)


def test_repeats_of_trees_leave_room_for_the_calls_that_they_repeat():
    """Each tree calls a deep service ten times; both budgets must hold."""
    calls_per_tree = 10
    one = repeat_bucket.RepeatBucket(RATIO, 0.0, WINDOW_S)
    one.note_tree("tree")
    tree_repeats = 0
    deep_repeats = 0
    trees = 2000
    for _ in range(trees):
        one.note_first("front", 0.0, "tree")
        tree_repeats += one.take("front", 0.0, route="tree")
        for _ in range(calls_per_tree):
            one.note_first("deep", 0.0, "leaf")
            deep_repeats += one.take("deep", 0.0, route="leaf")
    assert tree_repeats > 0.02 * trees
    repeated_calls = calls_per_tree * tree_repeats
    allowed = RATIO * calls_per_tree * trees
    assert deep_repeats + repeated_calls <= allowed
