"""Bounds of the overload benchmark, in simulations under a virtual clock.

Guards against changes to admission, routing, retries or quarantine that lose
goodput or protected requests under overload, recover too slowly, multiply
attempts or let a poison request crash more backend servers. Known misses are
listed in KNOWN-RED.txt.
"""

import functools

import pytest

from bench import bench_overload
from bench.overload import deployment as deployment_module
from bench.overload import policy as policy_module
from bench.overload import scenario as scenario_module

RUNS = [
    (deployment_module.CASCADE, scenario_module.SLOW_SERVICE),
    (deployment_module.CASCADE, scenario_module.SURGE),
    (deployment_module.CASCADE, scenario_module.SLOW_SURGE),
    (deployment_module.CASCADE, scenario_module.POISON),
    (deployment_module.CASCADE, scenario_module.RESTART),
    (deployment_module.SERENDIB, scenario_module.SURGE),
]
PROTECTED_LOSS = "protected_loss"
EACH_RUN = pytest.mark.parametrize(
    ("deployment", "scenario"),
    RUNS,
    ids=lambda value: getattr(value, "name", value),
)


@functools.cache
def _make_figures(deployment, scenario):
    result = bench_overload.measure(
        deployment, scenario, policy_module.CRANBERRYMUX
    )
    return bench_overload.make_figures(
        f"overload.{scenario.name}", scenario, result
    )


@EACH_RUN
def test_keeps_all_bounds_but_protected_loss(deployment, scenario):
    for measured in _make_figures(deployment, scenario):
        if not measured.name.endswith(PROTECTED_LOSS):
            assert measured.holds, measured


@EACH_RUN
def test_keeps_the_bound_of_protected_loss(deployment, scenario):
    found = [
        measured
        for measured in _make_figures(deployment, scenario)
        if measured.name.endswith(PROTECTED_LOSS)
    ]
    assert len(found) == 1
    assert found[0].holds, found[0]


def test_same_seed_gives_the_same_summary():
    scenario = scenario_module.SURGE._replace(
        begins_s=0.5, ends_s=1.0, run_s=4.0
    )
    first = bench_overload.measure(
        deployment_module.CASCADE, scenario, policy_module.CRANBERRYMUX
    )
    again = bench_overload.measure(
        deployment_module.CASCADE, scenario, policy_module.CRANBERRYMUX
    )
    assert first == again


def test_fixed_limit_exceeds_the_bound_of_protected_loss():
    result = bench_overload.measure(
        deployment_module.CASCADE,
        scenario_module.SURGE,
        policy_module.FIXED_LIMIT,
    )
    assert result.protected_loss > bench_overload.PROTECTED_LOSS_BOUND


def test_per_hop_retries_exceed_the_bound_of_attempts():
    result = bench_overload.measure(
        deployment_module.CASCADE,
        scenario_module.SURGE,
        policy_module.HOP_RETRIES,
    )
    assert result.attempts_per_call > bench_overload.ATTEMPTS_BOUND


def test_poison_without_quarantine_exceeds_the_bound_of_deaths():
    result = bench_overload.measure(
        deployment_module.CASCADE,
        scenario_module.POISON,
        policy_module.FIXED_LIMIT,
    )
    assert result.deaths > bench_overload.DEATHS_BOUND
