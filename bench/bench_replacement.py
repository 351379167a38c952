"""Plays every order of a replacement, a lost disk and a loss of power."""

from concurrent import futures

from bench import consensus_replacement_case
from bench import consensus_replacement_model
from bench import figure

SEED = 1
PROCESSES = 4
CASES_PER_TASK = 32
_SHOWN_VIOLATIONS = 10


def run() -> bool:
    """Prints the figures and returns whether every bound holds."""
    cases = list(consensus_replacement_case.all_cases())
    must_recover = sum(case.must_recover for case in cases)
    violations: list[str] = []
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        first_indexes = range(0, len(cases), CASES_PER_TASK)
        for found in pool.map(_play_from, first_indexes):
            violations += found
    for violation in violations[:_SHOWN_VIOLATIONS]:
        print(violation, flush=True)
    _print_figure("cases", len(cases))
    _print_figure("cases_that_must_recover", must_recover)
    return _print_figure("violations", len(violations), 0)


def _play_from(first_index: int) -> list[str]:
    cases = list(consensus_replacement_case.all_cases())
    played = cases[first_index : first_index + CASES_PER_TASK]
    return [
        f"{violation}: {case}"
        for case, violation in consensus_replacement_model.play(played, SEED)
    ]


def _print_figure(name: str, value: float, bound: float | None = None) -> bool:
    return figure.Figure(f"replacement.{name}", value, "count", bound).print()
