"""What the router's choices achieve, against plain ones, on fakes.

The router may not fall below two plain choices by more than `ALLOWED_LOSS`.

The sizes are those of the leak notes lookup: 4 endpoints of 13 slots in 4
availability zones, here with 12 callers.
"""

from collections.abc import Callable
import random
from typing import NamedTuple

from bench import chooser
from bench import fake_endpoint
from bench import figure
from bench import plain_choosers
from bench import routing_fakes
from cranberrymux.decisions.routing import router
from cranberrymux.decisions.routing import router_settings
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

ENDPOINTS = 4
SLOTS = 13
CALLERS = 12
DURATION_S = 3.0
CAPACITY_PER_S = ENDPOINTS * SLOTS / 0.01
SEED = 11
ALLOWED_LOSS = 0.002
Behaviour = fake_endpoint.Behaviour


class Scenario(NamedTuple):
    """One fault.

    Attributes:
        first: Behaviour of the first endpoint.
        load: Calls a second as a share of the whole capacity.
        others: Behaviour of the others.
        zone_weight: Share of the calls made in the first availability zone.
        cold_at_s: When the first endpoint restarts cold; 0.0 for never.
    """

    first: Behaviour
    load: float
    others: Behaviour = Behaviour()
    zone_weight: float = 0.25
    cold_at_s: float = 0.0


SLOW = Behaviour(slow_until_s=99.0, slowness=5.0)
SCENARIOS = {
    "healthy": Scenario(Behaviour(), 0.7),
    "slow": Scenario(SLOW, 0.6),
    "slow_and_lying": Scenario(SLOW._replace(told_load=0.0), 0.6),
    "load_lags": Scenario(
        Behaviour(load_lag_s=1.0), 0.7, Behaviour(load_lag_s=1.0)
    ),
    "says_full": Scenario(Behaviour(told_load=1.0), 0.7),
    "failing_fast": Scenario(Behaviour(failing=True), 0.5),
    "cold": Scenario(Behaviour(), 0.6, cold_at_s=2.0),
    "one_zone_asks": Scenario(Behaviour(), 0.6, zone_weight=0.7),
}


def run() -> bool:
    """Prints a figure per scenario and chooser."""
    held = []
    for name, scenario in SCENARIOS.items():
        baseline = _simulate(scenario, "random")
        held += _print(f"routing.{name}.random", baseline)
        baseline = _simulate(scenario, "two_choices")
        held += _print(f"routing.{name}.two_choices", baseline)
        result = _simulate(scenario, "router")
        least = round(baseline.good - ALLOWED_LOSS, 4)
        held += _print(f"routing.{name}.router", result, least)
    return all(held)


def _print(
    name: str, result: routing_fakes.Result, least_good: float | None = None
) -> list[bool]:
    lines = (
        figure.Figure(
            f"{name}.good", round(result.good, 4), "share", least_good, False
        ),
        figure.Figure(f"{name}.p99", round(result.p99_ms, 1), "ms"),
        figure.Figure(
            f"{name}.other_zone", round(result.other_zone, 3), "share"
        ),
    )
    return [line.print() for line in lines]


def _record(number: int, incarnation: int) -> endpoint_record.EndpointRecord:
    return endpoint_record.EndpointRecord(
        service=routing_fakes.SERVICE,
        endpoint_id=f"e{number}",
        incarnation=incarnation,
        sequence=1,
        address="127.0.0.1",
        port=1000 + number,
        region="cascadia",
        zone=f"z{number % 4}",
        labels={},
        slots=SLOTS,
        state=endpoint_state.EndpointState.SERVING,
    )


def _make_chooser(kind: str, zone: str, seed: int) -> chooser.Chooser:
    generator = random.Random(seed)
    records = [_record(number, 1) for number in range(ENDPOINTS)]
    if kind == "random":
        return plain_choosers.RandomChooser(generator, records)
    if kind == "two_choices":
        return plain_choosers.TwoChoices(generator, records)
    settings = router_settings.RouterSettings(region="cascadia", zone=zone)
    made = router.Router(settings, generator)
    made.update_endpoints(-99.0, routing_fakes.SERVICE, records)
    return made


def _simulate(scenario: Scenario, kind: str) -> routing_fakes.Result:
    callers = [
        (f"z{number % 4}", _make_chooser(kind, f"z{number % 4}", number))
        for number in range(CALLERS)
    ]
    endpoints = [
        (_record(number, 1), scenario.others if number else scenario.first)
        for number in range(ENDPOINTS)
    ]
    simulation = routing_fakes.Simulation(
        random.Random(SEED), endpoints, callers
    )
    weights = [
        scenario.zone_weight if zone == "z0" else (1 - scenario.zone_weight) / 3
        for zone, _ in callers
    ]
    changes: list[tuple[float, Callable[[], None]]] = []
    if scenario.cold_at_s:
        changes.append(
            (
                scenario.cold_at_s,
                lambda: _restart_cold(simulation, scenario, callers),
            )
        )
    rate_per_s = scenario.load * CAPACITY_PER_S
    return simulation.run(rate_per_s, DURATION_S, weights, changes)


def _restart_cold(
    simulation: routing_fakes.Simulation,
    scenario: Scenario,
    callers: list[tuple[str, chooser.Chooser]],
) -> None:
    """Makes the first endpoint cold for a second; routers are told."""
    cold = Behaviour(slow_until_s=scenario.cold_at_s + 1.0, slowness=10.0)
    simulation.set_behaviour("e0", cold)
    for _, one in callers:
        if isinstance(one, router.Router):
            one.update_endpoints(
                scenario.cold_at_s, routing_fakes.SERVICE, [_record(0, 2)]
            )
