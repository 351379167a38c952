"""Slopes from which docs/CAPACITY.md extrapolates to the required size."""

import sys

from bench.capacity import control_costs
from bench.capacity import node_costs


def run() -> bool:
    """Measures and prints the figures; returns True if all bounds hold."""
    bounds_hold = control_costs.measure_heartbeats()
    bounds_hold &= node_costs.measure()
    control_costs.measure_memory()
    control_costs.measure_parsing()
    return bounds_hold


if __name__ == "__main__":
    sys.exit(0 if run() else 1)
