"""Runs every benchmark, or those named."""

import argparse
import importlib
import pkgutil
import sys

import bench


def main() -> int:
    """Runs the benchmarks and returns 1 if a bound does not hold."""
    names = sorted(
        module.name
        for module in pkgutil.iter_modules(bench.__path__)
        if module.name.startswith("bench_")
    )
    parser = argparse.ArgumentParser(description="Run cranberrymux benchmarks.")
    parser.add_argument("names", nargs="*", default=names, metavar="NAME")
    arguments = parser.parse_args()
    held = True
    for name in arguments.names:
        held = importlib.import_module(f"bench.{name}").run() and held
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
