"""Simulates overload and compares cranberrymux with simpler policies."""

from bench import figure
from bench.overload import deployment as deployment_module
from bench.overload import policy as policy_module
from bench.overload import scenario as scenario_module
from bench.overload import simulation
from bench.overload import summary

SEED = 20261203
GOODPUT_BOUND = 0.95
PROTECTED_LOSS_BOUND = 0.001
RECOVERY_BOUND_S = 2.0
ATTEMPTS_BOUND = 1.1
DEATHS_BOUND = 3
OVERLOAD_SCENARIOS = (
    scenario_module.SLOW_SERVICE,
    scenario_module.SURGE,
    scenario_module.SLOW_SURGE,
    scenario_module.FALSE_LOAD_HINTS,
)


def measure(
    deployment: deployment_module.Deployment,
    scenario: scenario_module.Scenario,
    policy: policy_module.Policy,
    seed: int = SEED,
) -> summary.Summary:
    """Runs one scenario under one policy and summarises the run."""
    recorder = simulation.Simulation(deployment, scenario, policy, seed).run()
    return summary.summarise(deployment, scenario, recorder)


def make_figures(
    prefix: str, scenario: scenario_module.Scenario, result: summary.Summary
) -> list[figure.Figure]:
    """Returns the figures of a run with the bounds for cranberrymux.

    Args:
        prefix: Start of each figure's name, without the last dot.
        scenario: The scenario; goodput has a bound only in
            `OVERLOAD_SCENARIOS`.
        result: Summary of the run.
    """
    goodput_bound = GOODPUT_BOUND if scenario in OVERLOAD_SCENARIOS else None
    return [
        figure.Figure(
            f"{prefix}.goodput",
            round(result.goodput, 4),
            "share of capacity",
            goodput_bound,
            at_most=False,
        ),
        figure.Figure(
            f"{prefix}.protected_loss",
            round(result.protected_loss, 5),
            "share",
            PROTECTED_LOSS_BOUND,
        ),
        figure.Figure(
            f"{prefix}.protected_unanswered",
            round(result.protected_unanswered, 4),
            "share",
        ),
        figure.Figure(
            f"{prefix}.recovery", result.recovery_s, "s", RECOVERY_BOUND_S
        ),
        figure.Figure(
            f"{prefix}.attempts",
            round(result.attempts_per_call, 4),
            "per call",
            ATTEMPTS_BOUND,
        ),
        figure.Figure(
            f"{prefix}.wrong_answers", result.wrong_answers, "answers", 0
        ),
        figure.Figure(
            f"{prefix}.deaths", result.deaths, "backend servers", DEATHS_BOUND
        ),
        figure.Figure(
            f"{prefix}.work",
            round(result.runs_per_useful_run, 4),
            "runs per useful run",
        ),
    ]


def run() -> bool:
    """Prints the figures of every deployment, scenario and policy.

    Returns:
        True if the figures of cranberrymux keep their bounds; those of the
        baselines have none.
    """
    all_hold = True
    for deployment in deployment_module.DEPLOYMENTS:
        for scenario in scenario_module.SCENARIOS:
            for policy in (
                policy_module.CRANBERRYMUX,
                *policy_module.BASELINES,
            ):
                result = measure(deployment, scenario, policy)
                prefix = (
                    f"overload.{deployment.name}.{scenario.name}.{policy.name}"
                )
                for measured in make_figures(prefix, scenario, result):
                    has_bound = policy is policy_module.CRANBERRYMUX
                    printed = (
                        measured if has_bound else measured._replace(bound=None)
                    )
                    all_hold = printed.print() and all_hold
    return all_hold
