"""How an objective stands at one time."""

from typing import NamedTuple

from cranberrymux.decisions.burn import alert_window
from cranberrymux.decisions.burn import burn_status
from cranberrymux.decisions.burn import objective as objective_module
from cranberrymux.decisions.burn import tally


class WindowBurn(NamedTuple):
    """The burn rates of one pair of windows.

    Attributes:
        window: The pair.
        long_rate: Burn rate over the long window.
        short_rate: Burn rate over the short window.
        is_burning: True if both reach the threshold.
    """

    window: alert_window.AlertWindow
    long_rate: float
    short_rate: float
    is_burning: bool


class BurnResult(NamedTuple):
    """The budget of an objective and how fast it burns.

    Attributes:
        objective: The objective.
        status: How it stands.
        tally: Answers in its window.
        covered_s: Seconds of the window since the first answer in it.
        budget_left: Share of the budget left; below 0 if overspent.
        exhaustion_s: Seconds until the budget is used up if answers go on as
            they do; 0 if it is, None if it will not be within the window.
        windows: Burn rates of each pair of windows.
    """

    objective: objective_module.Objective
    status: burn_status.BurnStatus
    tally: tally.Tally
    covered_s: int
    budget_left: float
    exhaustion_s: float | None
    windows: tuple[WindowBurn, ...]
