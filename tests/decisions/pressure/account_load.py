"""Zipf-distributed client accounts, one of them in a burst, at one service.

Run as a program, it prints the table of docs/design/fair-shares.md.
"""

import sys
from typing import NamedTuple

from cranberrymux.decisions.pressure import share_meter
from cranberrymux.decisions.pressure import water_level
from tests.decisions.pressure import tree_simulation

ACCOUNTS = 71
EXPONENT = 1.2
NODES = 51
FEW_NODES = 3
ENDPOINTS = 3
SLOTS = 66
CALLS = 4
CALL_S = 0.1
# Trees a second that the slots can run.
CAPACITY_PER_S = SLOTS * ENDPOINTS / (CALLS * CALL_S)
WARM_UP_S = 4.0
BURST_S = 6.5
MINIMUM_RATIO = 0.25


class Scenario(NamedTuple):
    """One simulated load.

    Attributes:
        load: Usual requests of all accounts over the capacity.
        burst: Requests of one account over its usual ones.
        account: Number of that account, by size from 0.
        enters_at_few: True if it and all others enter at few nodes.
        has_retries: True if refused clients try again once.
        seed: Seed of the arrivals.
    """

    load: float
    burst: float
    account: int
    enters_at_few: bool
    has_retries: bool
    seed: int = 1


class Outcome(NamedTuple):
    """What the accounts got during the burst.

    Attributes:
        served: Requests that were served, of all accounts.
        small_share: Served share of the requests of all accounts that request
            less than their fair share.
        smallest_share: Lowest of their served shares.
        lowest_ratio: Lowest served share of any account, over that of all.
        burst_share: Served share of the account in the burst.
    """

    served: int
    small_share: float
    smallest_share: float
    lowest_ratio: float
    burst_share: float


def make_rates(load: float) -> list[float]:
    """Returns the usual requests a second of each account."""
    weights = [(rank + 1) ** -EXPONENT for rank in range(ACCOUNTS)]
    total = load * CAPACITY_PER_S / sum(weights)
    return [weight * total for weight in weights]


def find_fair_share(rates: list[float], served_per_s: float) -> float:
    """Returns the max-min level, in requests a second, of what was served.

    Each account gets at least `MINIMUM_RATIO` of the mean share.
    """
    fitting_per_s = share_meter.TARGET_UTILIZATION * CAPACITY_PER_S
    granted_per_s = min(served_per_s, fitting_per_s)
    demands = [water_level.Demand(rate) for rate in rates]
    minimum = MINIMUM_RATIO * granted_per_s / sum(rates)
    return water_level.find(demands, granted_per_s, minimum)


def simulate(
    scenario: Scenario, scope: tree_simulation.AccountScope
) -> Outcome:
    """Simulates the load; counts the trees that begin during the burst."""
    simulation = tree_simulation.TreeSimulation(
        [],
        nodes=NODES,
        endpoints=ENDPOINTS,
        slots=SLOTS,
        seed=scenario.seed,
        scope=scope,
        has_retries=scenario.has_retries,
    )
    rates = make_rates(scenario.load)
    for number, rate in enumerate(rates):
        entries = [(7 * number + k) % NODES for k in range(FEW_NODES)]
        kind = tree_simulation.TreeKind(
            "read",
            2,
            rate,
            CALLS,
            CALL_S,
            0.03,
            2.0,
            f"account-{number}",
            entries if scenario.enters_at_few else (),
        )
        simulation.arrive(kind._replace(counted_as="before"), 0.0, WARM_UP_S)
        if number == scenario.account:
            rates[number] = rate * scenario.burst
        simulation.arrive(
            kind._replace(per_s=rates[number]), WARM_UP_S, WARM_UP_S + BURST_S
        )
    simulation.run(WARM_UP_S + BURST_S)
    tallies = [
        simulation.tallies.get(f"account-{number}", tree_simulation.Tally())
        for number in range(ACCOUNTS)
    ]
    return _summarize(scenario, rates, tallies)


def _summarize(
    scenario: Scenario,
    rates: list[float],
    tallies: list[tree_simulation.Tally],
) -> Outcome:
    served = sum(tally.served for tally in tallies)
    asked = sum(tally.asked for tally in tallies)
    level = find_fair_share(rates, served / BURST_S)
    small = [
        tally
        for rate, tally in zip(rates, tallies, strict=True)
        if rate < level and tally.asked
    ]
    shares = [
        tally.served / tally.asked if tally.asked else 1.0 for tally in tallies
    ]
    return Outcome(
        served,
        sum(tally.served for tally in small)
        / sum(tally.asked for tally in small),
        min(tally.served / tally.asked for tally in small),
        min(shares) * asked / served,
        shares[scenario.account],
    )


SCENARIOS = [
    Scenario(load, burst, account, enters_at_few, has_retries)
    for load, burst, account in (
        (1.3, 5.0, 2),
        (1.3, 7.5, 2),
        (2.0, 5.0, 2),
        (2.0, 7.5, 2),
    )
    for enters_at_few in (True, False)
    for has_retries in (False, True)
]


def main() -> None:
    """Prints a row for each scenario and scope."""
    for scenario in SCENARIOS:
        for scope in tree_simulation.AccountScope:
            outcome = simulate(scenario, scope)
            sys.stdout.write(
                f"| {scenario.load} | {scenario.burst}"
                f" | {'few' if scenario.enters_at_few else 'many'}"
                f" | {'yes' if scenario.has_retries else 'no'}"
                f" | {scope.value} | {outcome.served}"
                f" | {outcome.small_share:.3f}"
                f" | {outcome.smallest_share:.2f}"
                f" | {outcome.lowest_ratio:.2f}"
                f" | {outcome.burst_share:.3f} |\n"
            )
            sys.stdout.flush()


if __name__ == "__main__":
    main()
