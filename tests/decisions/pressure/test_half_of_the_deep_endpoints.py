"""Half of the deepest service's endpoints leave while twice as much is asked.

Guards against an overload in which nearly all short requests are refused so
that a few more trees of a more important class fit: the number of requests
served falls below what the service could serve.
"""

import pytest

from tests.decisions.pressure import test_tree_overload
from tests.decisions.pressure import tree_simulation

FACTOR = (
    2.3  # Of the usual load; dispatch trees alone need 0.85 of what is left.
)
SLOTS = 15
ENDPOINTS = 4
REMAINING = 2
LEAVE_S = 4.0
COUNTED_FROM_S = 6.0
LENGTH_S = 16.0


def simulate(seed):
    simulation = tree_simulation.TreeSimulation(
        test_tree_overload.make_kinds(FACTOR),
        endpoints=ENDPOINTS,
        slots=SLOTS,
        seed=seed,
    )

    def leave():
        for endpoint in simulation.endpoints[REMAINING:]:
            endpoint.is_refusing = True

    simulation.at(LEAVE_S, leave)
    simulation.run(LENGTH_S, COUNTED_FROM_S)
    return simulation.tallies


def find_best_served_per_s():
    """Returns what full knowledge would serve, with no order among classes.

    Short requests first, then as many trees as fit.
    """
    _, dispatch, notes = test_tree_overload.make_kinds(FACTOR)
    left = REMAINING * SLOTS - notes.per_s * notes.call_s
    return notes.per_s + left / (dispatch.calls * dispatch.call_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_short_requests_are_not_refused_for_a_few_more_trees(seed):
    """Guards against SHORT: too little served while a deep service is short."""
    tallies = simulate(seed)
    served = {
        route: tally.served / tally.asked for route, tally in tallies.items()
    }
    assert served["notes"] > served["dispatch"] - 0.1
    total = sum(tally.served for tally in tallies.values())
    best = find_best_served_per_s() * (LENGTH_S - COUNTED_FROM_S)
    assert total > 0.8 * best


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_most_important_trees_are_refused_least(seed):
    tallies = simulate(seed)
    refused = {
        route: tally.refused / tally.asked for route, tally in tallies.items()
    }
    assert refused["dispatch"] < refused["notes"] + 0.1
    assert refused["notes"] < refused["history"]
