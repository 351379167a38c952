"""Trees that fail nearly always because a deep service refuses its calls."""

import random

from cranberrymux.decisions.pressure import prospects
from cranberrymux.decisions.pressure import root_admission

PER_S = 15.0
TREE_S = 0.3
KIND = root_admission.Kind(2, root_admission.Turn.FIRST, "tree")


def play(until_s, bad_from_s, bad_until_s, well_share, seed=1, per_s=PER_S):
    """Trees of one node; returns what was asked, let in and served, by second.

    A tree that begins while the deep service is bad ends well by chance.
    """
    generator = random.Random(seed)
    admission = root_admission.RootAdmission(0.0)
    seconds = [[0, 0, 0] for _ in range(int(until_s) + 1)]
    under_way = []
    now_s = 0.0
    while now_s < until_s:
        now_s += generator.expovariate(per_s)
        while under_way and under_way[0][0] <= now_s:
            ended_s, is_whole = under_way.pop(0)
            admission.note_end(ended_s, "tree", is_whole)
        counts = seconds[int(min(now_s, until_s))]
        counts[0] += 1
        if not admission.offer(now_s, KIND):
            continue
        counts[1] += 1
        is_bad = bad_from_s <= now_s < bad_until_s
        is_whole = not is_bad or generator.random() < well_share
        counts[2] += is_whole
        under_way.append((now_s + TREE_S, is_whole))
    return seconds


def share_let_in(seconds, first, last):
    asked = sum(one[0] for one in seconds[first:last])
    return sum(one[1] for one in seconds[first:last]) / asked


def test_few_trees_begin_while_nearly_all_fail():
    seconds = play(30.0, 10.0, 20.0, 0.01)
    assert share_let_in(seconds, 0, 10) == 1.0
    assert share_let_in(seconds, 12, 20) < 0.4


def test_all_begin_again_soon_after():
    seconds = play(30.0, 10.0, 20.0, 0.01)
    assert share_let_in(seconds, 22, 30) > 0.95


def test_a_route_of_few_trees_learns_of_the_turn_as_soon():
    seconds = play(60.0, 10.0, 40.0, 0.0, per_s=2.5)
    assert share_let_in(seconds, 42, 60) > 0.9


def test_trees_that_end_well_now_and_then_are_not_held_back():
    seconds = play(30.0, 10.0, 20.0, 0.5)
    assert share_let_in(seconds, 10, 20) > 0.9


def test_other_routes_are_not_held_back():
    made = prospects.Prospects()
    for _ in range(100):
        made.note(1.0, "tree", False)
    assert made.chance(1.0, "tree") == prospects.LEAST_CHANCE
    assert made.chance(1.0, "single") == 1.0
