"""Prints a table of the choice among endpoints, for docs/design/balancing.md.

Usage: python -m tests.decisions.endpoints.balancing_table TABLE, where TABLE is
a number of endpoints, `ages` or `others`.
"""

from concurrent import futures
import statistics
import sys

from tests.decisions.endpoints import balancing_simulation

SEEDS = (1,)
WAYS = ("speed", "load", "random", "full")
PROCESSES = 3


def make_plan(endpoints, load, report_age_s=0.02, **changes):
    return balancing_simulation.make_plan(
        endpoints, load, report_age_s=report_age_s, **changes
    )


EQUAL = {"speeds": (1.0, 1.0), "slow_share": 0.0}
TABLES = {
    **{
        str(endpoints): [
            make_plan(endpoints, load) for load in (0.5, 0.8, 0.95, 1.2)
        ]
        for endpoints in (4, 16, 23, 100)
    },
    "ages": [
        make_plan(endpoints, load, age_s)
        for endpoints, load in ((4, 0.8), (16, 0.8), (16, 0.95))
        for age_s in (0.0, 0.02, 0.1, 0.5)
    ],
    "others": [
        make_plan(16, 0.8, **EQUAL),
        make_plan(16, 0.95, **EQUAL),
        make_plan(16, 0.8, figures="none"),
        make_plan(16, 0.8, figures="random"),
    ],
}


def run(plan, way):
    """Returns `p50 / p99 / share in time` as the mean over all seeds."""
    results = [
        balancing_simulation.Simulation(plan, way, seed).run() for seed in SEEDS
    ]
    p50_s, p99_s, share, _ = map(statistics.mean, zip(*results, strict=True))
    return f"{1000 * p50_s:.0f} / {1000 * p99_s:.0f} / {share:.3f}"


def main():
    plans = TABLES[sys.argv[1]]
    print("| endpoints | load | age ms | figures |", " | ".join(WAYS), "|")
    print("|---" * (4 + len(WAYS)) + "|")
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        cells = [
            [pool.submit(run, plan, way) for way in WAYS] for plan in plans
        ]
        for plan, row in zip(plans, cells, strict=True):
            head = f"{plan.endpoints} | {plan.load} | "
            head += f"{1000 * plan.report_age_s:.0f} | {plan.figures}"
            print("|", head, "|", " | ".join(c.result() for c in row), "|")


if __name__ == "__main__":
    main()
