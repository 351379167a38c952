"""The evaluation of an objective at one point in time."""

from typing import NamedTuple

from cranberrymux.decisions.burn import alert_window_pair
from cranberrymux.decisions.burn import burn_status
from cranberrymux.decisions.burn import objective as objective_module
from cranberrymux.decisions.burn import tally


class WindowBurn(NamedTuple):
    """The burn rates over one pair of windows.

    Attributes:
        window: The pair of windows.
        long_rate: Burn rate over the long window; at least 0.
        short_rate: Burn rate over the short window; at least 0.
        is_burning: True if both rates reach the threshold and the short window
            has enough answers.
    """

    window: alert_window_pair.AlertWindowPair
    long_rate: float
    short_rate: float
    is_burning: bool


class BurnResult(NamedTuple):
    """The error budget and the burn rates of an objective.

    Attributes:
        objective: The objective that was evaluated.
        status: Summary of the budget and the burn rates.
        tally: Answers in the objective's window.
        covered_s: Seconds from the first answer in the window to its end; 0
            without answers.
        budget_left: Remaining share of the budget, at most 1; below 0 if
            overspent.
        exhaustion_s: Projected seconds until the budget is used up at the
            recent rate of bad answers; 0 if it already is, None if it will
            not be within one window's length.
        windows: Burn rates over each pair of windows.
    """

    objective: objective_module.Objective
    status: burn_status.BurnStatus
    tally: tally.Tally
    covered_s: int
    budget_left: float
    exhaustion_s: float | None
    windows: tuple[WindowBurn, ...]
