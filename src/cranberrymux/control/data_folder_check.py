"""Offline check of a data folder: `cranberrymux-control --check FOLDER`."""

import sys

from cranberrymux import storage

EXIT_INTACT = 0
EXIT_DAMAGED = 1


def check(path: str) -> int:
    """Checks the data folder of a stopped instance and prints the findings.

    Args:
        path: The data folder.

    Returns:
        `EXIT_INTACT`, or `EXIT_DAMAGED` if the folder is damaged or could not
        be checked.
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
    return EXIT_INTACT
