"""Service-level objectives, their error budgets and burn rates.

The error budget of an objective is the share of answers that may be bad over
the objective's window. A burn rate of 1 uses up the budget in exactly that
window.
"""
