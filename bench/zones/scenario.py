"""One simulated run: sizes, load and a change during it."""

from collections.abc import Callable
from typing import NamedTuple

from bench.zones import fleet as fleet_module
from bench.zones import simulation as simulation_module
from bench.zones import zone_rules

WARM_S = 1.5  # The shares have settled by then.
SPAN_S = 4.0
# The time in which a change must have been answered.
REACTION_S = 2.0
SLOWNESS = 6.0

Change = Callable[[simulation_module.Simulation], None]


def _move_demand(simulation: simulation_module.Simulation) -> None:
    """Moves half of the demand of all other zones to the first."""
    moved = [0.5 * demand for demand in simulation.demand[1:]]
    simulation.demand = [simulation.demand[0] + sum(moved), *moved]


CHANGES: dict[str, Change] = {
    "zone lost": lambda simulation: simulation.lose(1),
    "zone drained": lambda simulation: simulation.drain(1),
    "zone slowed": lambda simulation: simulation.slow_down(1, SLOWNESS),
    "demand moved": _move_demand,
}


class Scenario(NamedTuple):
    """Sizes, load and change of a run.

    Attributes:
        fleet: Endpoints and demand.
        load: Load as a share of the capacity of the whole fleet.
        change: Name of a change in `CHANGES`; empty for none.
    """

    fleet: fleet_module.Fleet
    load: float
    change: str = ""


def run(
    scenario: Scenario, rule: str, seed: int = 1, span_s: float = SPAN_S
) -> simulation_module.Simulation:
    """Runs a scenario; its change is made at `WARM_S`.

    Args:
        scenario: The scenario.
        rule: Name of a rule in `zone_rules.RULES`.
        seed: Seed of the run.
        span_s: Seconds that are simulated after `WARM_S`.
    """
    simulation = simulation_module.Simulation(
        zone_rules.RULES[rule], scenario.fleet, seed
    )
    changes = {}
    if scenario.change:
        change = CHANGES[scenario.change]
        changes[WARM_S] = lambda: change(simulation)
    simulation.run(scenario.load, WARM_S + span_s, changes)
    return simulation
