"""Plots the answers, burn rates and error budget of an objective."""

import datetime
import io
import math
from typing import Any
from typing import NamedTuple

from matplotlib import dates
from matplotlib import figure as figure_module

from cranberrymux.decisions.burn import burn_result
from cranberrymux.decisions.burn import evaluation
from cranberrymux.decisions.burn import outcome_series
from cranberrymux.report import durations

TARGET_POINTS = 240
WIDTH_INCHES = 9.0
HEIGHT_INCHES = 6.6
RATE_FLOOR = 0.05

_GOOD_COLOR = "#4c9f70"
_BAD_COLOR = "#c8443c"
_WINDOW_COLORS = ("#b3341f", "#d98a1f", "#2f6fab", "#6b4c9a")


class _Points(NamedTuple):
    """Points in time at which an objective is plotted.

    Attributes:
        times_s: Unix seconds, ascending; the last is the time of the report
            rounded up to a whole bucket.
        step_s: Seconds between neighbouring points.
    """

    times_s: list[float]
    step_s: float


def render(
    result: burn_result.BurnResult,
    series: outcome_series.OutcomeSeries,
    now_s: float,
    file_format: str = "svg",
) -> bytes:
    """Plots an objective over the part of its window that has answers.

    Args:
        result: The evaluation of the objective.
        series: Answers that the objective covers.
        now_s: Time of the report, Unix seconds.
        file_format: `svg` or `png`.

    Returns:
        The content of the image file.
    """
    points = _choose_points(result, now_s)
    figure = figure_module.Figure(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )
    answers, rates, budget = figure.subplots(3, 1, sharex=True)
    _draw_answers(answers, series, points)
    _draw_rates(rates, result, series, points)
    _draw_budget(budget, result, series, points)
    locator = dates.AutoDateLocator(tz=datetime.UTC)
    budget.xaxis.set_major_locator(locator)
    budget.xaxis.set_major_formatter(
        dates.ConciseDateFormatter(locator, tz=datetime.UTC)
    )
    budget.set_xlabel("time, UTC")
    image = io.BytesIO()
    metadata = {"Date": None} if file_format == "svg" else None
    figure.savefig(image, format=file_format, metadata=metadata)
    return image.getvalue()


def _choose_points(result: burn_result.BurnResult, now_s: float) -> _Points:
    bucket_s = outcome_series.BUCKET_S
    shown_s = min(result.covered_s, result.objective.window_s)
    shown_s = max(shown_s, 2 * bucket_s)
    step_s = max(bucket_s, shown_s // TARGET_POINTS // bucket_s * bucket_s)
    end_s = math.ceil(now_s / bucket_s) * bucket_s
    count = -(-shown_s // step_s)
    times_s = [end_s - step_s * steps_ago for steps_ago in range(count, -1, -1)]
    return _Points([float(time_s) for time_s in times_s], float(step_s))


def _as_dates(times_s: list[float]) -> list[datetime.datetime]:
    return [
        datetime.datetime.fromtimestamp(time_s, datetime.UTC)
        for time_s in times_s
    ]


def _place_legend(axes: Any) -> None:
    axes.legend(loc="lower left", bbox_to_anchor=(0, 1), ncols=4, frameon=False)


def _draw_answers(
    axes: Any, series: outcome_series.OutcomeSeries, points: _Points
) -> None:
    good = []
    bad = []
    for time_s in points.times_s:
        tally = series.count_between(int(time_s - points.step_s), int(time_s))
        good.append(tally.good / points.step_s)
        bad.append(tally.bad / points.step_s)
    axes.stackplot(
        _as_dates(points.times_s),
        good,
        bad,
        labels=("good", "bad"),
        colors=(_GOOD_COLOR, _BAD_COLOR),
        step="pre",
    )
    axes.set_ylabel("answers per second")
    _place_legend(axes)


def _draw_rates(
    axes: Any,
    result: burn_result.BurnResult,
    series: outcome_series.OutcomeSeries,
    points: _Points,
) -> None:
    for index, burn in enumerate(result.windows):
        color = _WINDOW_COLORS[index % len(_WINDOW_COLORS)]
        window = burn.window
        rates = [
            evaluation.recent_burn_rate(
                result.objective, series, window.long_s, time_s
            )
            for time_s in points.times_s
        ]
        axes.plot(
            _as_dates(points.times_s),
            [max(RATE_FLOOR, rate) for rate in rates],
            color=color,
            label=(
                f"over {durations.describe(window.long_s)}, "
                f"threshold {window.rate_threshold:g}"
            ),
        )
        axes.axhline(
            window.rate_threshold, color=color, linestyle=":", linewidth=1
        )
    axes.set_yscale("log")
    axes.set_ylim(bottom=RATE_FLOOR)
    axes.set_ylabel("burn rate")
    _place_legend(axes)


def _draw_budget(
    axes: Any,
    result: burn_result.BurnResult,
    series: outcome_series.OutcomeSeries,
    points: _Points,
) -> None:
    shares = [
        100 * evaluation.budget_left(result.objective, series, time_s)
        for time_s in points.times_s
    ]
    axes.plot(_as_dates(points.times_s), shares, color=_WINDOW_COLORS[2])
    axes.axhline(0, color=_BAD_COLOR, linestyle=":", linewidth=1)
    axes.set_ylim(top=105)
    axes.set_ylabel("budget left, %")
