"""Computes error budgets and burn rates of service-level objectives."""

from collections.abc import Sequence
import fractions
import math
from typing import NamedTuple

from cranberrymux.decisions.burn import alert_window_pair
from cranberrymux.decisions.burn import burn_result
from cranberrymux.decisions.burn import burn_status
from cranberrymux.decisions.burn import objective as objective_module
from cranberrymux.decisions.burn import outcome_series
from cranberrymux.decisions.burn import tally as tally_module

PROJECTION_STEPS = 720  # Per length of the objective's window.

_Status = burn_status.BurnStatus


class _Budget(NamedTuple):
    """The error budget over an objective's window.

    Attributes:
        tally: Answers in the window.
        covered_s: Seconds from the first answer in the window to its end.
        allowed_bad: Number of bad answers that the objective allows in a
            whole window; 0 without answers.
    """

    tally: tally_module.Tally
    covered_s: int
    allowed_bad: fractions.Fraction

    @property
    def left(self) -> fractions.Fraction:
        """Remaining share of the budget; 1 without answers."""
        if not self.allowed_bad:
            return fractions.Fraction(1)
        return 1 - self.tally.bad / self.allowed_bad


def evaluate(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    windows: Sequence[alert_window_pair.AlertWindowPair],
    now_s: float,
) -> burn_result.BurnResult:
    """Evaluates the budget and the burn rates of an objective.

    Args:
        objective: The objective to evaluate.
        series: Answers that the objective covers.
        windows: Pairs of windows, at least one.
        now_s: Unix time in seconds; later buckets do not count.
    """
    until_s = _round_up_to_bucket_s(now_s)
    budget = _measure_budget(objective, series, until_s)
    window_burns = tuple(
        _evaluate_window(objective, series, window, until_s)
        for window in windows
    )
    recent_s = min(window.long_s for window in windows)
    return burn_result.BurnResult(
        objective,
        _determine_status(budget, window_burns),
        budget.tally,
        budget.covered_s,
        float(budget.left),
        _project_exhaustion(objective, series, budget, recent_s, until_s),
        window_burns,
    )


def budget_left(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    now_s: float,
) -> float:
    """Returns the share of the budget left at `now_s`; see `BurnResult`."""
    until_s = _round_up_to_bucket_s(now_s)
    return float(_measure_budget(objective, series, until_s).left)


def burn_rate(
    objective: objective_module.Objective, tally: tally_module.Tally
) -> float:
    """Returns the burn rate of some answers; 0 without answers.

    The burn rate is the share of bad answers divided by the share that the
    objective allows.
    """
    if not tally.total:
        return 0.0
    bad_share = fractions.Fraction(tally.bad, tally.total)
    return float(bad_share / _allowed_bad_share(objective))


def recent_burn_rate(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    length_s: int,
    now_s: float,
) -> float:
    """Returns the burn rate over the `length_s` seconds before `now_s`."""
    until_s = _round_up_to_bucket_s(now_s)
    return burn_rate(
        objective, series.count_between(until_s - length_s, until_s)
    )


def _round_up_to_bucket_s(now_s: float) -> int:
    bucket_s = outcome_series.BUCKET_S
    return math.ceil(now_s / bucket_s) * bucket_s


def _allowed_bad_share(
    objective: objective_module.Objective,
) -> fractions.Fraction:
    # The string form of a float is the decimal that was configured, without
    # its binary rounding error.
    return 1 - fractions.Fraction(str(objective.target_share))


def _evaluate_window(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    window: alert_window_pair.AlertWindowPair,
    until_s: int,
) -> burn_result.WindowBurn:
    long_tally = series.count_between(until_s - window.long_s, until_s)
    short_tally = series.count_between(until_s - window.short_s, until_s)
    long_rate = burn_rate(objective, long_tally)
    short_rate = burn_rate(objective, short_tally)
    is_burning = (
        short_tally.total >= window.requests_min
        and long_rate >= window.rate_threshold
        and short_rate >= window.rate_threshold
    )
    return burn_result.WindowBurn(window, long_rate, short_rate, is_burning)


def _measure_budget(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    until_s: int,
) -> _Budget:
    """Computes the budget over the objective's window.

    While the answers cover only part of the window, their rate is extrapolated
    to the whole window. A minute of bad answers then costs a new service the
    same share of its budget as an established one.
    """
    from_s = until_s - objective.window_s
    first_s = series.find_first_start_s(from_s, until_s)
    tally = series.count_between(from_s, until_s)
    if first_s is None or not tally.total:
        return _Budget(tally, 0, fractions.Fraction(0))
    covered_s = until_s - first_s
    expected_total = fractions.Fraction(
        tally.total * objective.window_s, covered_s
    )
    allowed_bad = expected_total * _allowed_bad_share(objective)
    return _Budget(tally, covered_s, allowed_bad)


def _determine_status(
    budget: _Budget, window_burns: Sequence[burn_result.WindowBurn]
) -> burn_status.BurnStatus:
    if not budget.tally.total:
        return _Status.NO_DATA
    if budget.left <= 0:
        return _Status.EXHAUSTED
    if any(burn.is_burning for burn in window_burns):
        return _Status.BURNING
    return _Status.WITHIN


def _project_exhaustion(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    budget: _Budget,
    recent_s: int,
    until_s: int,
) -> float | None:
    """Projects the seconds until the budget is used up.

    Assumes that bad answers continue at the rate of the last `recent_s`
    seconds, and takes into account that old answers leave the window.

    Args:
        objective: The objective.
        series: Answers that the objective covers.
        budget: Budget over the window that ends at `until_s`.
        recent_s: Length of the period that gives the rate of bad answers.
        until_s: End of the last bucket that counts, Unix seconds.

    Returns:
        Seconds from `until_s`; 0 if the budget is used up, None if it will not
        be within one window's length or if there are no answers.
    """
    if not budget.covered_s:
        return None
    recent = series.count_between(until_s - recent_s, until_s)
    bad_per_s = recent.bad / min(recent_s, budget.covered_s)
    allowed_bad = float(budget.allowed_bad)
    if budget.left <= 0:
        return 0.0
    step_s = objective.window_s / PROJECTION_STEPS
    for step in range(PROJECTION_STEPS):
        oldest_s = until_s + round(step * step_s) - objective.window_s
        allowed_bad_left = (
            allowed_bad - series.count_between(oldest_s, until_s).bad
        )
        if allowed_bad_left <= bad_per_s * (step + 1) * step_s:
            return allowed_bad_left / bad_per_s
    return None
