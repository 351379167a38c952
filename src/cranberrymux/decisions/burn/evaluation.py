"""Evaluates objectives."""

from collections.abc import Sequence
import fractions
import math
from typing import NamedTuple

from cranberrymux.decisions.burn import alert_window
from cranberrymux.decisions.burn import burn_result
from cranberrymux.decisions.burn import burn_status
from cranberrymux.decisions.burn import objective as objective_module
from cranberrymux.decisions.burn import outcome_series
from cranberrymux.decisions.burn import tally as tally_module

PROJECTION_STEPS = 720

_Status = burn_status.BurnStatus


class _Budget(NamedTuple):
    tally: tally_module.Tally
    covered_s: int
    allowed_bad: fractions.Fraction

    @property
    def left(self) -> fractions.Fraction:
        """Share of the budget left."""
        if not self.allowed_bad:
            return fractions.Fraction(1)
        return 1 - self.tally.bad / self.allowed_bad


def evaluate(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    windows: Sequence[alert_window.AlertWindow],
    now_s: float,
) -> burn_result.BurnResult:
    """Says how an objective stands.

    Args:
        objective: The objective.
        series: Its answers.
        windows: Pairs of windows, at least one.
        now_s: Unix time in seconds; later buckets do not count.
    """
    until_s = _bucket_end_s(now_s)
    budget = _measure_budget(objective, series, until_s)
    burns = tuple(
        _evaluate_window(objective, series, window, until_s)
        for window in windows
    )
    recent_s = min(window.long_s for window in windows)
    return burn_result.BurnResult(
        objective,
        _status(budget, burns),
        budget.tally,
        budget.covered_s,
        float(budget.left),
        _project_exhaustion(objective, series, budget, recent_s, until_s),
        burns,
    )


def budget_left(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    now_s: float,
) -> float:
    """Share of the budget left at a time; see `BurnResult`."""
    until_s = _bucket_end_s(now_s)
    return float(_measure_budget(objective, series, until_s).left)


def burn_rate(
    objective: objective_module.Objective, tally: tally_module.Tally
) -> float:
    """Times faster than the budget allows; 0 without answers."""
    if not tally.total:
        return 0.0
    share = fractions.Fraction(tally.bad, tally.total)
    return float(share / _bad_share_allowed(objective))


def rate_within(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    length_s: int,
    now_s: float,
) -> float:
    """Burn rate over the last `length_s` seconds before `now_s`."""
    until_s = _bucket_end_s(now_s)
    return burn_rate(objective, series.within(until_s - length_s, until_s))


def _bucket_end_s(now_s: float) -> int:
    bucket_s = outcome_series.BUCKET_S
    return math.ceil(now_s / bucket_s) * bucket_s


def _bad_share_allowed(
    objective: objective_module.Objective,
) -> fractions.Fraction:
    # The text of a float gives the decimal that its writer meant.
    return 1 - fractions.Fraction(str(objective.target_share))


def _evaluate_window(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    window: alert_window.AlertWindow,
    until_s: int,
) -> burn_result.WindowBurn:
    long = series.within(until_s - window.long_s, until_s)
    short = series.within(until_s - window.short_s, until_s)
    long_rate = burn_rate(objective, long)
    short_rate = burn_rate(objective, short)
    is_burning = (
        short.total >= window.requests_min
        and long_rate >= window.rate_threshold
        and short_rate >= window.rate_threshold
    )
    return burn_result.WindowBurn(window, long_rate, short_rate, is_burning)


def _measure_budget(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    until_s: int,
) -> _Budget:
    """Measures the budget over the window.

    While the answers cover only a part of the window, the budget is that of
    the whole window at the traffic seen so far, so that a bad minute costs a
    minute's worth of it.
    """
    from_s = until_s - objective.window_s
    first_s = series.first_within(from_s, until_s)
    tally = series.within(from_s, until_s)
    if first_s is None or not tally.total:
        return _Budget(tally, 0, fractions.Fraction(0))
    covered_s = until_s - first_s
    expected_total = fractions.Fraction(
        tally.total * objective.window_s, covered_s
    )
    allowed_bad = expected_total * _bad_share_allowed(objective)
    return _Budget(tally, covered_s, allowed_bad)


def _status(
    budget: _Budget, burns: Sequence[burn_result.WindowBurn]
) -> burn_status.BurnStatus:
    if not budget.tally.total:
        return _Status.NO_DATA
    if budget.left <= 0:
        return _Status.EXHAUSTED
    if any(burn.is_burning for burn in burns):
        return _Status.BURNING
    return _Status.WITHIN


def _project_exhaustion(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    budget: _Budget,
    recent_s: int,
    until_s: int,
) -> float | None:
    """Walks on at the present pace, while old answers leave the window."""
    if not budget.covered_s:
        return None
    recent = series.within(until_s - recent_s, until_s)
    bad_per_s = recent.bad / min(recent_s, budget.covered_s)
    allowed_bad = float(budget.allowed_bad)
    if budget.left <= 0:
        return 0.0
    step_s = objective.window_s / PROJECTION_STEPS
    for step in range(PROJECTION_STEPS):
        oldest_s = until_s + round(step * step_s) - objective.window_s
        room = allowed_bad - series.within(oldest_s, until_s).bad
        if room <= bad_per_s * (step + 1) * step_s:
            return room / bad_per_s
    return None
