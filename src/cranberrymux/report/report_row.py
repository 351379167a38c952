"""Formats the evaluation of an objective as the cells of a table row."""

from typing import NamedTuple

from cranberrymux.decisions.burn import burn_result
from cranberrymux.report import durations


class ReportRow(NamedTuple):
    """The cells of one row, shared by the text and the HTML view.

    Attributes:
        service: Name of the service.
        class_name: Name of the request class.
        target: Minimum share of good answers in percent, and the maximum
            latency of a good answer if there is one.
        window: Length of the objective's window, and the part of it that has
            answers if that is shorter.
        status: Value of the `BurnStatus`.
        answers: Number of answers in the window.
        good: Share of good answers in percent; `-` without answers.
        budget_left: Share of the error budget left in percent, negative if
            overspent.
        exhaustion: Projected time until the budget is used up; `-` if it will
            not be within one window's length.
        rates: Burn rates of each pair of windows, with `!` if it is burning.
    """

    service: str
    class_name: str
    target: str
    window: str
    status: str
    answers: str
    good: str
    budget_left: str
    exhaustion: str
    rates: str


HEADINGS = ReportRow(
    "service",
    "class",
    "target",
    "window",
    "status",
    "answers",
    "good",
    "budget left",
    "used up in",
    "burn rate, long/short window",
)


def describe(result: burn_result.BurnResult) -> ReportRow:
    """Returns the row of one objective."""
    objective = result.objective
    target = f"{objective.target_share * 100:.6g}%"
    if objective.latency_ms is not None:
        target += f" in {objective.latency_ms:g} ms"
    window = durations.describe(objective.window_s)
    if result.covered_s < objective.window_s:
        window += f" ({durations.describe(result.covered_s)} seen)"
    tally = result.tally
    good = f"{tally.good / tally.total * 100:.6g}%" if tally.total else "-"
    return ReportRow(
        objective.service,
        objective.class_name,
        target,
        window,
        result.status.value,
        str(tally.total),
        good,
        f"{result.budget_left * 100:.4g}%",
        _describe_exhaustion(result.exhaustion_s),
        ", ".join(_describe_window(window) for window in result.windows),
    )


def _describe_exhaustion(exhaustion_s: float | None) -> str:
    if exhaustion_s is None:
        return "-"
    return "used up" if exhaustion_s == 0 else durations.describe(exhaustion_s)


def _describe_window(burn: burn_result.WindowBurn) -> str:
    lengths = "/".join(
        durations.describe(length_s)
        for length_s in (burn.window.long_s, burn.window.short_s)
    )
    mark = "!" if burn.is_burning else ""
    return f"{lengths}: {burn.long_rate:.3g}/{burn.short_rate:.3g}{mark}"
