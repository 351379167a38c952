"""Division of what fits among the routes of one account or priority.

Guards against short trees that are refused as often as those that need the
scarce service many times, and against long trees that are starved by them.
"""

import pytest

from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import route_allotment
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import work_report
from tests.decisions.pressure import test_tree_overload
from tests.decisions.pressure import tree_simulation

_Timing = traffic_class_module.AttemptTiming
SHARE = 0.4
WORKS = {"long": 0.4, "short": 0.02}  # Seconds at the scarce service.
PER_S = 100


def demand(route, work, timing=1):
    return route_allotment.Demand(route, timing, work)


def test_route_with_little_work_gets_all_of_it():
    demands = [demand("short", 1.0), demand("long", 19.0)]
    short, long = route_allotment.allot(demands, SHARE)
    assert short == 1.0
    assert 1.0 + 19.0 * long == pytest.approx(SHARE * 20.0)


def test_retries_of_a_long_route_take_nothing_from_a_short_one():
    demands = [
        demand("short", 1.0),
        demand("long", 19.0),
        demand("long", 19.0, timing=0),
    ]
    short, first, retry = route_allotment.allot(demands, SHARE)
    assert short == 1.0
    assert retry > first
    granted = 1.0 + 19.0 * (first + retry)
    assert granted == pytest.approx(SHARE * 39.0)


def test_no_route_gets_less_than_half_of_the_mean_share():
    demands = [demand(f"route-{number}", 1.0) for number in range(30)]
    demands.append(demand("long", 30.0))
    shares = route_allotment.allot(demands, SHARE)
    assert min(shares) >= SHARE / 2
    granted = sum(
        part.work * share for part, share in zip(demands, shares, strict=True)
    )
    assert granted == pytest.approx(SHARE * 60.0)


@pytest.mark.parametrize("account", ["", "a"])
def test_refuses_only_long_trees_where_short_ones_need_little(account):
    admission = root_admission.RootAdmission(0.0)
    classes = {
        route: traffic_class_module.TrafficClass(
            1, _Timing.FIRST, route, account
        )
        for route in WORKS
    }
    told = SHARE if account else None
    for number in range(4 * PER_S):
        now_s = number / PER_S
        for route, traffic_class in classes.items():
            part = work_report.ServiceWork(WORKS[route], SHARE, told)
            report = {"deep": part}
            key = traffic_class.key
            admission.note_report(now_s, route, report, True, key)
            admission.admit(now_s, traffic_class)
    assert admission.get_admitted_share(classes["short"]) == 1.0
    assert admission.get_admitted_share(classes["long"]) < SHARE


def test_serves_short_trees_among_long_ones_of_equal_importance():
    """Clients of refused trees retry, which come before first attempts."""
    kinds = test_tree_overload.make_kinds(2.3)
    simulation = tree_simulation.TreeSimulation(
        [kind._replace(priority=1) for kind in kinds]
    )
    simulation.run(test_tree_overload.LENGTH_S, test_tree_overload.WARM_UP_S)
    notes = simulation.tallies["notes"]
    assert notes.served > 0.98 * notes.asked
    history = simulation.tallies["history"]
    assert history.failed < 0.05 * history.asked
    length_s = test_tree_overload.LENGTH_S - test_tree_overload.WARM_UP_S
    assert simulation.utilization(length_s) > 0.95
