"""More trees than the deepest service can finish, with clients that retry.

Without admission at the root, trees that cannot finish use up the slots of
the deepest service, and then fail. Guards against such waste, and against
loss of the most important trees.
"""

import pytest

from tests.decisions.pressure import tree_simulation

DEEP_SLOTS = 60
WARM_UP_S = 4.0
LENGTH_S = 16.0


def make_kinds(factor: float) -> list[tree_simulation.TreeKind]:
    return [
        tree_simulation.TreeKind(
            "history", 2, 163 * factor, 8, 0.03, 0.025, 0.8
        ),
        tree_simulation.TreeKind(
            "dispatch", 0, 46 * factor, 8, 0.03, 0.02, 1.0
        ),
        tree_simulation.TreeKind("notes", 1, 41 * factor, 1, 0.048, 0.001, 0.6),
    ]


def find_fitting_share(factor: float) -> float:
    """Returns the share of `history` trees that fits beside all others."""
    history, *others = (
        kind.per_s * kind.calls * kind.call_s for kind in make_kinds(factor)
    )
    return min(1.0, (DEEP_SLOTS - sum(others)) / history)


def simulate(
    factor: float, is_admitting: bool = True
) -> tree_simulation.TreeSimulation:
    simulation = tree_simulation.TreeSimulation(
        make_kinds(factor), is_admitting=is_admitting
    )
    simulation.run(LENGTH_S, WARM_UP_S)
    return simulation


@pytest.mark.parametrize("factor", [1.4, 2.3])
def test_serves_most_important_trees_and_what_fits_of_the_rest(factor):
    simulation = simulate(factor)
    shares = {
        route: tally.served / tally.asked
        for route, tally in simulation.tallies.items()
    }
    assert shares["dispatch"] > 0.98
    assert shares["notes"] > 0.95
    assert shares["history"] > 0.85 * find_fitting_share(factor)


@pytest.mark.parametrize("factor", [1.4, 2.3, 3.5])
def test_few_trees_fail_under_overload(factor):
    simulation = simulate(factor)
    failed = sum(tally.failed for tally in simulation.tallies.values())
    asked = sum(tally.asked for tally in simulation.tallies.values())
    assert failed < 0.05 * asked


LARGE_ENDPOINTS = 11
LARGE_FACTOR = 1.4 * LARGE_ENDPOINTS / 4
DROP_S = 4.0
# Slots of six of the eleven endpoints after the drop, of 15 before.
DROPPED_SLOTS = 5


def simulate_drop(nodes: int, seed: int) -> tree_simulation.TreeSimulation:
    """Half of the deep endpoints lose two thirds of their slots."""
    simulation = tree_simulation.TreeSimulation(
        make_kinds(LARGE_FACTOR),
        nodes=nodes,
        endpoints=LARGE_ENDPOINTS,
        seed=seed,
    )

    def drop() -> None:
        for endpoint in simulation.endpoints[:6]:
            endpoint.scheduler.set_slots(DROPPED_SLOTS)

    simulation.at(DROP_S, drop)
    simulation.run(DROP_S + 6.0, DROP_S + 1.5)
    return simulation


@pytest.mark.parametrize("nodes", [8, 185])
def test_serves_what_fits_while_endpoints_have_unequal_room(nodes):
    """Guards against trees that all fail, each after a part of its calls.

    What they ask for then looks like less than the service can take, so that
    ever more of them are let in.
    """
    history, *others = make_kinds(LARGE_FACTOR)
    slots = 6 * DROPPED_SLOTS + 5 * 15
    left = slots - sum(one.per_s * one.calls * one.call_s for one in others)
    fitting_share = left / (history.per_s * history.calls * history.call_s)
    tally = simulate_drop(nodes, seed=1).tallies["history"]
    assert tally.served > 0.85 * fitting_share * tally.asked
    assert tally.failed < 0.1 * tally.asked


def test_leaf_requests_do_not_wait_behind_trees_of_equal_importance():
    """Guards against short requests that starve behind calls of trees.

    Where all priorities are equal, as with client accounts of one priority,
    every call of a tree would start before a request that makes no calls.
    """
    simulation = tree_simulation.TreeSimulation(
        [kind._replace(priority=1) for kind in make_kinds(1.4)]
    )
    simulation.run(LENGTH_S, WARM_UP_S)
    notes = simulation.tallies["notes"]
    assert notes.failed < 0.01 * notes.asked


def test_refuses_nothing_below_capacity():
    simulation = simulate(0.9)
    assert all(tally.refused == 0 for tally in simulation.tallies.values())


def test_least_important_trees_mostly_fail_without_root_admission():
    simulation = simulate(2.3, is_admitting=False)
    history = simulation.tallies["history"]
    assert history.served < 0.5 * find_fitting_share(2.3) * history.asked
    assert history.failed > 0.5 * history.asked


def test_serves_most_important_trees_at_factor_of_three_and_a_half():
    dispatch = simulate(3.5).tallies["dispatch"]
    assert dispatch.served > 0.9 * dispatch.asked


def test_serves_most_important_trees_after_restart_with_half_the_endpoints():
    """Starts without learned state and with half of the deep endpoints."""
    simulation = tree_simulation.TreeSimulation(make_kinds(1.6), endpoints=2)
    simulation.run(LENGTH_S, WARM_UP_S)
    dispatch = simulation.tallies["dispatch"]
    assert dispatch.served > 0.9 * dispatch.asked
