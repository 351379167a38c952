"""Service-level objectives and how fast their budgets burn.

The budget of an objective is the share of its answers that may be bad over
its window. A burn rate of 1 uses the budget up in exactly that window.
"""
