"""News that siblings pass on to each other.

Guards against messages of a node that grow with the number of its siblings, and
against siblings that news does not reach while links are cut and nodes down.
"""

import random

import pytest

from cranberrymux.decisions.directory import neighbors

NEIGHBORS = 6
HOP_S = 0.01  # A message between nodes, with the work of both.


def make_ids(count, seed):
    generator = random.Random(seed)
    return [f"node-{generator.randrange(10**12)}" for _ in range(count)]


def spread(ids, seed, cut_ratio=0.0, down_ratio=0.0):
    """Spreads one piece of news; returns those reached and the hops."""
    generator = random.Random(seed)
    up = {name for name in ids if generator.random() >= down_ratio}
    links = {name: neighbors.choose_neighbors(name, ids) for name in ids}
    source = min(up)
    reached, newest, hops = {source}, {source}, 0
    while newest:
        found = {
            other
            for name in newest
            for other in sorted(links[name])
            if other in up and generator.random() >= cut_ratio
        }
        newest = found - reached
        reached |= newest
        hops += bool(newest)
    return up, reached, hops


@pytest.mark.parametrize("count", [1, 2, 5, neighbors.MAXIMUM_ALL + 1])
def test_few_siblings_are_all_neighbors(count):
    ids = make_ids(count, 1)
    assert neighbors.choose_neighbors(ids[0], ids) == set(ids[1:])


@pytest.mark.parametrize("count", [20, 101, 2000])
def test_number_of_neighbors_does_not_grow(count):
    ids = make_ids(count, 1)
    for name in ids[:50]:
        assert len(neighbors.choose_neighbors(name, ids)) == NEIGHBORS


@pytest.mark.parametrize("count", [20, 101])
def test_neighbors_are_mutual(count):
    ids = make_ids(count, 2)
    for name in ids:
        for other in neighbors.choose_neighbors(name, ids):
            assert name in neighbors.choose_neighbors(other, ids)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("count", [20, 101, 400])
def test_reaches_all_within_a_second_with_one_link_in_ten_cut(count, seed):
    up, reached, hops = spread(make_ids(count, seed), seed, 0.1, 0.05)
    assert reached == up
    assert hops * HOP_S < 1.0


def test_nodes_that_know_different_siblings_still_reach_all():
    """Some nodes do not know yet of a tenth of the others."""
    ids = make_ids(101, 3)
    generator = random.Random(4)
    links = {}
    for name in ids:
        known = [other for other in ids if generator.random() < 0.9]
        links[name] = neighbors.choose_neighbors(name, known)
    reached, newest = {ids[0]}, {ids[0]}
    while newest:
        newest = {other for name in newest for other in links[name]} - reached
        reached |= newest
    assert reached == set(ids)
