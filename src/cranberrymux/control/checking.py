"""`cranberrymux-control --check FOLDER`."""

import sys

from cranberrymux import storage

EXIT_SOUND = 0
EXIT_DAMAGED = 1


def check(path: str) -> int:
    """Checks a data folder offline and prints what was found.

    Returns:
        The exit code.
    """
    report = storage.check(path)
    if report.problem is not None:
        problem = report.problem
        print(
            f"{problem.path}: {problem.reason.value}: {problem.detail}",
            file=sys.stderr,
        )
        return EXIT_DAMAGED
    for name, value in report._asdict().items():
        if name != "problem":
            print(f"{name}: {value}")
    return EXIT_SOUND
