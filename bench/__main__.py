"""Runs all benchmarks, or those named on the command line."""

import argparse
import importlib
import pkgutil
import sys

import bench


def main() -> int:
    """Runs the benchmarks; returns 1 if any figure misses its bound."""
    names = sorted(
        module.name
        for module in pkgutil.iter_modules(bench.__path__)
        if module.name.startswith("bench_")
    )
    parser = argparse.ArgumentParser(description="Run cranberrymux benchmarks.")
    parser.add_argument("names", nargs="*", default=names, metavar="NAME")
    arguments = parser.parse_args()
    all_hold = True
    for name in arguments.names:
        all_hold = importlib.import_module(f"bench.{name}").run() and all_hold
    return 0 if all_hold else 1


if __name__ == "__main__":
    sys.exit(main())
