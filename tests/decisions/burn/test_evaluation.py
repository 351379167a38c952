"""Checks burn rates, error budgets and the projected exhaustion.

Guards against alerts for a burn that is over or rests on a few answers,
against a new service that appears exhausted because its answers cover only
part of the window, and against a projection that ignores answers that leave
the window.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.burn import alert_window_pair
from cranberrymux.decisions.burn import burn_status
from cranberrymux.decisions.burn import evaluation
from cranberrymux.decisions.burn import objective
from cranberrymux.decisions.burn import outcome_series
from cranberrymux.decisions.burn import tally
from tests import profiles

Status = burn_status.BurnStatus

HOUR_S = 3600
DAY_S = 24 * HOUR_S
NOW_S = 1_000 * DAY_S - 1
OBJECTIVE = objective.Objective("s", "c", 0.999, 30 * DAY_S)


def _series(*parts):
    """Builds a series with 10,000 answers per 10 s.

    Args:
        parts: Tuples of the age in s at which the part begins, the age at
            which it ends, and its share of bad answers.
    """
    series = outcome_series.OutcomeSeries()
    for begin_s, end_s, bad_share in parts:
        for age_s in range(end_s, begin_s, 10):
            good = round(10_000 * (1 - bad_share))
            series.add(NOW_S - age_s, good, 10_000)
    return series


def _evaluate(series, slo=OBJECTIVE, windows=alert_window_pair.DEFAULTS):
    return evaluation.evaluate(slo, series, windows, NOW_S)


@pytest.mark.parametrize(
    ("good", "total", "rate"),
    [
        (0, 0, 0),
        (1000, 1000, 0),
        (999, 1000, 1),
        (9856, 10000, 14.4),
        (0, 5, 1000),
    ],
)
def test_burn_rate_is_the_bad_share_divided_by_the_allowed_share(
    good, total, rate
):
    assert evaluation.burn_rate(OBJECTIVE, tally.Tally(good, total)) == rate


def test_burn_rate_of_one_over_the_whole_window_exhausts_the_budget():
    result = _evaluate(_series((30 * DAY_S, 0, 0.001)))
    assert result.budget_left == 0
    assert result.status is Status.EXHAUSTED
    assert result.exhaustion_s == 0


@pytest.mark.parametrize(
    ("bad_share", "minutes", "is_burning"),
    [
        (0.0144, 60, True),
        (0.014, 60, False),
        (1, 1, True),
        (0.5, 1, False),
    ],
)
def test_objective_burns_only_if_both_windows_reach_the_threshold(
    bad_share, minutes, is_burning
):
    series = _series(
        (10 * DAY_S, 60 * minutes, 0), (60 * minutes, 0, bad_share)
    )
    result = _evaluate(series, windows=(alert_window_pair.DEFAULTS[0],))
    assert result.windows[0].is_burning is is_burning
    expected = Status.BURNING if is_burning else Status.WITHIN
    assert result.status is expected


def test_burn_that_ended_before_the_short_window_is_not_reported():
    # 14.4 times over the last hour, none in the last 5 minutes.
    series = _series((DAY_S, 900, 0), (900, 300, 0.9), (300, 0, 0))
    window = _evaluate(series).windows[0]
    assert window.long_rate > 14.4
    assert window.short_rate == 0
    assert not window.is_burning


def test_fewer_answers_than_the_minimum_report_no_burn():
    series = outcome_series.OutcomeSeries()
    series.add(NOW_S, 0, 4)
    for requests_min, is_burning in ((4, True), (5, False)):
        window = alert_window_pair.AlertWindowPair(
            3600, 300, 14.4, requests_min
        )
        result = _evaluate(series, windows=(window,))
        assert result.windows[0].is_burning is is_burning


def test_series_without_answers_has_status_no_data_and_a_full_budget():
    result = _evaluate(_series())
    assert result.status is Status.NO_DATA
    assert (result.budget_left, result.exhaustion_s) == (1, None)


def test_answers_before_the_window_or_after_now_do_not_count():
    series = _series((31 * DAY_S, 30 * DAY_S, 1), (30 * DAY_S, 0, 0))
    series.add(NOW_S + 10, 0, 1000)
    result = _evaluate(series)
    assert result.tally.bad == 0
    assert result.covered_s == 30 * DAY_S
    assert result.budget_left == 1


def test_bad_minute_of_a_new_service_costs_one_minute_of_the_whole_budget():
    # The budget of 30 days is 2592 s of bad answers.
    result = _evaluate(_series((60, 0, 1)))
    assert result.covered_s == 60
    assert result.budget_left == pytest.approx(1 - 60 / 2592)
    assert result.exhaustion_s == pytest.approx(2592 - 60)


def test_exhaustion_is_projected_from_the_recent_burn_rate():
    # A rate of 14.4 for an hour spends 2% of 30 days; 50 h spend all.
    series = _series((30 * DAY_S, HOUR_S, 0), (HOUR_S, 0, 0.0144))
    result = _evaluate(series)
    assert result.budget_left == pytest.approx(0.98, abs=1e-3)
    assert result.exhaustion_s == pytest.approx(49 * HOUR_S, rel=0.01)


def test_no_exhaustion_is_projected_without_net_growth_of_bad_answers():
    assert _evaluate(_series((30 * DAY_S, 0, 0))).exhaustion_s is None
    series = _series((15 * DAY_S, 0, 0.0005))
    slo = OBJECTIVE._replace(window_s=15 * DAY_S, target_share=0.998)
    assert _evaluate(series, slo).exhaustion_s is None


def test_burn_rate_below_one_exhausts_a_nearly_spent_budget():
    # 98% spent in one outage 10 days ago, then a rate of 0.9.
    slo = OBJECTIVE._replace(target_share=0.99)
    spent_s = round(30 * DAY_S * 0.01 * 0.7) // 10 * 10
    series = _series(
        (30 * DAY_S, 10 * DAY_S + spent_s, 0),
        (10 * DAY_S + spent_s, 10 * DAY_S, 1),
        (10 * DAY_S, 0, 0.009),
    )
    result = _evaluate(series, slo)
    assert 0 < result.budget_left < 0.01
    assert result.windows[0].long_rate == pytest.approx(0.9)
    assert 0 < result.exhaustion_s < DAY_S


@pytest.mark.parametrize("outage_s", [2592, 7200])
def test_budget_spent_by_a_past_outage_is_exhausted_now(outage_s):
    slo = OBJECTIVE._replace(target_share=0.9, window_s=25920)
    series = _series((25920, 20000, 0), (20000, 20000 - outage_s, 1))
    for age_s in range(0, 20000 - outage_s, 10):
        series.add(NOW_S - age_s, 10_000, 10_000)
    result = _evaluate(series, slo)
    assert result.status is Status.EXHAUSTED
    assert result.exhaustion_s == 0


def _simulate_exhaustion_s(slo, series, result, recent_s):
    """Returns the seconds until no budget is left, found in steps of 10 s."""
    until_s = NOW_S + 1
    bad_per_s = series.count_between(until_s - recent_s, until_s).bad / min(
        recent_s, result.covered_s
    )
    allowed_share = 1 - slo.target_share
    allowed_bad = (
        result.tally.total * slo.window_s / result.covered_s * allowed_share
    )
    for age_s in range(0, slo.window_s + 10, 10):
        bad_in_window = series.count_between(
            until_s + age_s - slo.window_s, until_s
        ).bad
        if bad_in_window + bad_per_s * age_s >= allowed_bad:
            return age_s
    return None


@hypothesis.settings(profiles.DETERMINISTIC, max_examples=100)
@hypothesis.given(
    bad=strategies.lists(
        strategies.sampled_from([0, 0, 0, 3, 10, 12, 25]),
        min_size=8,
        max_size=90,
    )
)
def test_projected_exhaustion_agrees_with_a_step_by_step_simulation(bad):
    slo = OBJECTIVE._replace(target_share=0.9, window_s=7200)
    window = alert_window_pair.AlertWindowPair(600, 60, 1)
    series = outcome_series.OutcomeSeries()
    for index, count in enumerate(bad):
        for part in range(8):
            second = NOW_S - 80 * index - 10 * part
            series.add(second, 100 - count, 100)
    result = _evaluate(series, slo, (window,))
    expected = _simulate_exhaustion_s(slo, series, result, 600)
    if expected is None:
        assert result.exhaustion_s is None
    else:
        assert result.exhaustion_s is not None
        assert expected - 10 <= result.exhaustion_s <= expected


def test_recent_burn_rate_counts_only_the_seconds_before_now():
    series = _series((600, 60, 0), (60, 0, 0.01))
    assert evaluation.recent_burn_rate(OBJECTIVE, series, 60, NOW_S) == 10
    assert evaluation.recent_burn_rate(OBJECTIVE, series, 120, NOW_S) == 5
    assert evaluation.recent_burn_rate(OBJECTIVE, series, 60, NOW_S - 60) == 0


def test_buckets_with_zero_answers_have_status_no_data():
    series = outcome_series.OutcomeSeries()
    series.add(NOW_S, 0, 0)
    result = _evaluate(series)
    assert result.status is Status.NO_DATA
    assert (result.covered_s, result.exhaustion_s) == (0, None)


def test_first_bucket_is_found_only_within_the_period():
    series = outcome_series.OutcomeSeries()
    series.add(25, 1, 1)
    assert series.find_first_start_s(0, 20) is None
    assert series.find_first_start_s(0, 21) == 20
    assert series.find_first_start_s(20, 30) == 20
    assert series.find_first_start_s(21, 30) is None


@hypothesis.settings(profiles.DETERMINISTIC, max_examples=60)
@hypothesis.given(
    answers=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 500),
            strategies.integers(0, 9),
            strategies.integers(0, 9),
        ),
        max_size=40,
    ),
    begin_s=strategies.integers(-20, 520),
    length_s=strategies.integers(-20, 300),
)
def test_series_counts_exactly_the_buckets_that_start_in_the_period(
    answers, begin_s, length_s
):
    series = outcome_series.OutcomeSeries()
    for second, good, bad in answers:
        series.add(second, good, good + bad)
    counted = [
        (good, bad)
        for second, good, bad in answers
        if begin_s <= second // 10 * 10 < begin_s + length_s
    ]
    tallied = series.count_between(begin_s, begin_s + length_s)
    assert tallied.good == sum(good for good, _ in counted)
    assert tallied.bad == sum(bad for _, bad in counted)


def test_objective_covers_equal_names_and_any_name_for_a_star():
    assert OBJECTIVE.covers("s", "c")
    assert not OBJECTIVE.covers("s", "d")
    assert not OBJECTIVE.covers("t", "c")
    assert OBJECTIVE._replace(service="*").covers("t", "c")
    assert OBJECTIVE._replace(class_name="*").covers("s", "d")
