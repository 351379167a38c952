"""Rules of choosing a zone, compared in a simulation.

Prints for each run the share of the sends that left their zone, the 0.99
quantile of the wait before a run and the share of the requests refused. Runs
with a change are evaluated from `scenario.REACTION_S` after it.
"""

import os

from bench.zones import fleet as fleet_module
from bench.zones import scenario as scenario_module
from bench.zones import simulation as simulation_module
from bench.zones import zone_rules

LOADS = (0.5, 0.8, 0.95, 1.2)
CHANGE_LOAD = 0.5
# Names of the rules to run, separated by commas; all without it.
RULES_VARIABLE = "CRANBERRYMUX_BENCH_RULES"
SIZES_VARIABLE = "CRANBERRYMUX_BENCH_ZONES"


def run() -> bool:
    """Prints a table; has no bounds, which the tests check."""
    rules = _read_list(RULES_VARIABLE) or list(zone_rules.RULES)
    print(
        f"{'zones':>6} {'load':>5} {'change':<13}", *map("{:>18}".format, rules)
    )
    for name, scenario in _make_scenarios():
        cells = [
            _format(scenario, scenario_module.run(scenario, rule))
            for rule in rules
        ]
        print(
            f"{name:>6} {scenario.load:>5} {scenario.change or '-':<13}",
            *map("{:>18}".format, cells),
            flush=True,
        )
    return True


def _make_scenarios() -> list[tuple[str, scenario_module.Scenario]]:
    fleets = {"equal": fleet_module.EQUAL}
    fleets |= {str(size): each for size, each in fleet_module.FLEETS.items()}
    sizes = _read_list(SIZES_VARIABLE) or list(fleets)
    scenarios = []
    for name in sizes:
        fleet = fleets[name]
        for load in LOADS:
            scenarios.append((name, scenario_module.Scenario(fleet, load)))
        for change in scenario_module.CHANGES:
            scenarios.append(
                (name, scenario_module.Scenario(fleet, CHANGE_LOAD, change))
            )
    return scenarios


def _read_list(variable: str) -> list[str]:
    return [name for name in os.environ.get(variable, "").split(",") if name]


def _format(
    scenario: scenario_module.Scenario,
    simulation: simulation_module.Simulation,
) -> str:
    begin_s = scenario_module.WARM_S
    if scenario.change:
        begin_s += scenario_module.REACTION_S
    figures = simulation.figures(begin_s, simulation.now_s)
    return (
        f"{figures.left_zone:.3f}/{figures.p99_wait_s * 1000:.0f}/"
        f"{figures.refused:.4f}"
    )
