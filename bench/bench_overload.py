"""Simulates overload and compares cranberrymux with simpler policies."""

from bench import figure
from bench.overload import deployment
from bench.overload import policy
from bench.overload import scenario
from bench.overload import simulation
from bench.overload import summary

SEED = 20261203
GOODPUT_BOUND = 0.95
PROTECTED_LOSS_BOUND = 0.001
RECOVERY_BOUND_S = 2.0
ATTEMPTS_BOUND = 1.1
DEATHS_BOUND = 3
OVERLOADS = (scenario.SLOW, scenario.SURGE, scenario.BOTH, scenario.LIES)


def measure(
    where: deployment.Deployment,
    plan: scenario.Scenario,
    what: policy.Policy,
    seed: int = SEED,
) -> summary.Summary:
    """Runs one scenario under one policy and summarises the run."""
    recorder = simulation.Simulation(where, plan, what, seed).run()
    return summary.summarise(where, plan, recorder)


def make_figures(
    prefix: str, plan: scenario.Scenario, result: summary.Summary
) -> list[figure.Figure]:
    """Returns the figures of a run with the bounds for cranberrymux.

    Args:
        prefix: Start of each figure's name, without the last dot.
        plan: The scenario; goodput has a bound only in `OVERLOADS`.
        result: Summary of the run.
    """
    goodput_bound = GOODPUT_BOUND if plan in OVERLOADS else None
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
    for where in deployment.DEPLOYMENTS:
        for plan in scenario.SCENARIOS:
            for what in (policy.CONTROL, *policy.BASELINES):
                result = measure(where, plan, what)
                prefix = f"overload.{where.name}.{plan.name}.{what.name}"
                for measured in make_figures(prefix, plan, result):
                    has_bound = what is policy.CONTROL
                    printed = (
                        measured if has_bound else measured._replace(bound=None)
                    )
                    all_hold = printed.print() and all_hold
    return all_hold
