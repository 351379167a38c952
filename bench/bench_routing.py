"""Goodput of the router in a simulation, compared with baseline choosers.

The router's share of good calls may be at most `MAXIMUM_GOODPUT_LOSS` below
that of the better of two random endpoints.

The sizes are those of the leak notes lookup: 4 endpoints of 13 slots in 4
availability zones, here with 12 callers.
"""

from collections.abc import Callable
import random
from typing import NamedTuple

from bench import baseline_choosers
from bench import chooser
from bench import fake_endpoint
from bench import figure
from bench import routing_simulation
from cranberrymux.decisions.routing import router
from cranberrymux.decisions.routing import router_settings
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

ENDPOINT_COUNT = 4
SLOTS_PER_ENDPOINT = 13
CALLER_COUNT = 12
DURATION_S = 3.0
CAPACITY_PER_S = ENDPOINT_COUNT * SLOTS_PER_ENDPOINT / 0.01
SEED = 11
MAXIMUM_GOODPUT_LOSS = 0.002
Behaviour = fake_endpoint.Behaviour


class Scenario(NamedTuple):
    """Behaviour of the endpoints and load of one simulation.

    Attributes:
        first_behaviour: Behaviour of the first endpoint.
        load: Call rate as a share of the capacity of all endpoints.
        other_behaviour: Behaviour of the other endpoints.
        first_zone_share: Share of the calls made in the first availability
            zone, 0 to 1.
        cold_restart_at_s: Simulated time at which the first endpoint restarts
            cold; 0.0 for never.
    """

    first_behaviour: Behaviour
    load: float
    other_behaviour: Behaviour = Behaviour()
    first_zone_share: float = 0.25
    cold_restart_at_s: float = 0.0


SLOW = Behaviour(slow_until_s=99.0, slowdown_factor=5.0)
SCENARIOS = {
    "healthy": Scenario(Behaviour(), 0.7),
    "slow": Scenario(SLOW, 0.6),
    "slow_and_lying": Scenario(SLOW._replace(reported_load=0.0), 0.6),
    "load_lags": Scenario(
        Behaviour(reported_load_age_s=1.0),
        0.7,
        Behaviour(reported_load_age_s=1.0),
    ),
    "says_full": Scenario(Behaviour(reported_load=1.0), 0.7),
    "failing_fast": Scenario(Behaviour(failing=True), 0.5),
    "cold": Scenario(Behaviour(), 0.6, cold_restart_at_s=2.0),
    "one_zone_asks": Scenario(Behaviour(), 0.6, first_zone_share=0.7),
}


def run() -> bool:
    """Simulates each scenario with each chooser; True if all bounds hold."""
    results = []
    for name, scenario in SCENARIOS.items():
        baseline = _simulate(scenario, "random")
        results += _print_figures(f"routing.{name}.random", baseline)
        baseline = _simulate(scenario, "two_choices")
        results += _print_figures(f"routing.{name}.two_choices", baseline)
        routed = _simulate(scenario, "router")
        least_good = round(baseline.goodput_share - MAXIMUM_GOODPUT_LOSS, 4)
        results += _print_figures(f"routing.{name}.router", routed, least_good)
    return all(results)


def _print_figures(
    name: str,
    result: routing_simulation.Result,
    least_good: float | None = None,
) -> list[bool]:
    figures = (
        figure.Figure(
            f"{name}.good",
            round(result.goodput_share, 4),
            "share",
            least_good,
            False,
        ),
        figure.Figure(f"{name}.p99", round(result.p99_ms, 1), "ms"),
        figure.Figure(
            f"{name}.other_zone", round(result.cross_zone_share, 3), "share"
        ),
    )
    return [measured.print() for measured in figures]


def _make_record(
    number: int, incarnation: int
) -> endpoint_record.EndpointRecord:
    return endpoint_record.EndpointRecord(
        service=routing_simulation.SERVICE,
        endpoint_id=f"e{number}",
        incarnation=incarnation,
        sequence=1,
        address="127.0.0.1",
        port=1000 + number,
        region="cascadia",
        zone=f"z{number % 4}",
        labels={},
        slots=SLOTS_PER_ENDPOINT,
        state=endpoint_state.EndpointState.SERVING,
    )


def _make_chooser(kind: str, zone: str, seed: int) -> chooser.Chooser:
    generator = random.Random(seed)
    records = [_make_record(number, 1) for number in range(ENDPOINT_COUNT)]
    if kind == "random":
        return baseline_choosers.RandomChooser(generator, records)
    if kind == "two_choices":
        return baseline_choosers.PowerOfTwoChooser(generator, records)
    settings = router_settings.RouterSettings(region="cascadia", zone=zone)
    warm_router = router.Router(settings, generator)
    warm_router.update_endpoints(-99.0, routing_simulation.SERVICE, records)
    return warm_router


def _simulate(scenario: Scenario, kind: str) -> routing_simulation.Result:
    callers = [
        (f"z{number % 4}", _make_chooser(kind, f"z{number % 4}", number))
        for number in range(CALLER_COUNT)
    ]
    endpoints = [
        (
            _make_record(number, 1),
            scenario.other_behaviour if number else scenario.first_behaviour,
        )
        for number in range(ENDPOINT_COUNT)
    ]
    simulation = routing_simulation.Simulation(
        random.Random(SEED), endpoints, callers
    )
    weights = [
        scenario.first_zone_share
        if zone == "z0"
        else (1 - scenario.first_zone_share) / 3
        for zone, _ in callers
    ]
    scheduled_changes: list[tuple[float, Callable[[], None]]] = []
    if scenario.cold_restart_at_s:
        scheduled_changes.append(
            (
                scenario.cold_restart_at_s,
                lambda: _restart_cold(simulation, scenario, callers),
            )
        )
    rate_per_s = scenario.load * CAPACITY_PER_S
    return simulation.run(rate_per_s, DURATION_S, weights, scheduled_changes)


def _restart_cold(
    simulation: routing_simulation.Simulation,
    scenario: Scenario,
    callers: list[tuple[str, chooser.Chooser]],
) -> None:
    """Slows the first endpoint for a second and updates the routers.

    The routers learn its new incarnation at once; baselines learn nothing.
    """
    cold = Behaviour(
        slow_until_s=scenario.cold_restart_at_s + 1.0, slowdown_factor=10.0
    )
    simulation.set_behaviour("e0", cold)
    for _, caller_chooser in callers:
        if isinstance(caller_chooser, router.Router):
            caller_chooser.update_endpoints(
                scenario.cold_restart_at_s,
                routing_simulation.SERVICE,
                [_make_record(0, 2)],
            )
