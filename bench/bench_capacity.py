"""Slopes from which docs/CAPACITY.md works out the size of the letter."""

import sys

from bench.capacity import control_costs
from bench.capacity import node_costs


def run() -> bool:
    """Measures and prints the figures; returns True if the bounds hold."""
    held = control_costs.measure_heartbeats()
    held &= node_costs.measure()
    control_costs.measure_memory()
    control_costs.measure_parsing()
    return held


if __name__ == "__main__":
    sys.exit(0 if run() else 1)
