"""This node's part of the shared budget of repeats."""

import random

import pytest

from cranberrymux.decisions.retries import repeat_bucket

RATIO = 0.2
SLACK = 49.0
WINDOW_S = 10.0
NODES = 18
WISH = repeat_bucket.Wish("s")


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
            while one.take(WISH, now_s):
                repeats.append(now_s)
    for end_s in range(10, 31):
        inside = [at for at in repeats if end_s - WINDOW_S < at <= end_s]
        asked = [at for at in firsts if end_s - WINDOW_S < at <= end_s]
        assert len(inside) <= RATIO * len(asked) + SLACK


def test_keeps_a_part_for_what_is_more_important():
    one = repeat_bucket.RepeatBucket(RATIO, 100.0, WINDOW_S)
    taken = 0
    while one.take(repeat_bucket.Wish("s", rank=2.0), 0.0):
        taken += 1
    assert 0 < taken < 20
    assert one.take(repeat_bucket.Wish("s", rank=-0.5), 0.0)


def test_calls_of_repeated_trees_are_charged():
    bucket = repeat_bucket.RepeatBucket(RATIO, SLACK, WINDOW_S)
    bucket.note_tree("tree")
    calls = 10
    trees = 2000
    tree_repeats = 0
    deep_repeats = 0
    for _ in range(trees):
        bucket.note_first("front", 0.0, "tree")
        is_repeated = bucket.take(
            repeat_bucket.Wish("front", route="tree"), 0.0
        )
        for _ in range(calls):
            bucket.note_first("deep", 0.0)
            if is_repeated:
                bucket.note_repeated_call("deep", 0.0)
            deep_repeats += bucket.take(repeat_bucket.Wish("deep"), 0.0)
        tree_repeats += is_repeated
    assert tree_repeats > 0.02 * trees
    spent = deep_repeats + calls * tree_repeats
    assert spent <= RATIO * calls * trees + SLACK
