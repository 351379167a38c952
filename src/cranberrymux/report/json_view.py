"""Renders the report as JSON."""

import json
from typing import TypedDict

from cranberrymux.decisions.burn import burn_result
from cranberrymux.report import burn_report


class WindowJson(TypedDict):
    """JSON object for a pair of windows and its rates; see `WindowBurn`."""

    long_s: int
    short_s: int
    rate_threshold: float
    long_rate: float
    short_rate: float
    is_burning: bool


# The functional syntax, because the key `class` is a Python keyword.
ObjectiveJson = TypedDict(
    "ObjectiveJson",
    {
        "service": str,
        "class": str,
        "target_share": float,
        "window_s": int,
        "latency_ms": float | None,
        "status": str,
        "good": int,
        "total": int,
        "covered_s": int,
        "budget_left": float,
        "exhaustion_s": float | None,
        "windows": list[WindowJson],
    },
)


class ReportJson(TypedDict):
    """JSON object for the whole report; see `BurnReport`."""

    now_s: float
    is_within: bool
    files_read: int
    lines_read: int
    lines_skipped: int
    objectives: list[ObjectiveJson]


def render(report: burn_report.BurnReport) -> str:
    """Returns the report as the JSON text of a `ReportJson`."""
    return json.dumps(build(report), indent=1)


def build(report: burn_report.BurnReport) -> ReportJson:
    """Returns the report as a dictionary that `json` can serialize."""
    return ReportJson(
        now_s=report.now_s,
        is_within=report.is_within,
        files_read=report.files_read,
        lines_read=report.lines_read,
        lines_skipped=report.lines_skipped,
        objectives=[
            _build_objective(objective.result)
            for objective in report.objectives
        ],
    )


def _build_objective(result: burn_result.BurnResult) -> ObjectiveJson:
    objective = result.objective
    return {
        "service": objective.service,
        "class": objective.class_name,
        "target_share": objective.target_share,
        "window_s": objective.window_s,
        "latency_ms": objective.latency_ms,
        "status": result.status.value,
        "good": result.tally.good,
        "total": result.tally.total,
        "covered_s": result.covered_s,
        "budget_left": result.budget_left,
        "exhaustion_s": result.exhaustion_s,
        "windows": [_build_window(burn) for burn in result.windows],
    }


def _build_window(burn: burn_result.WindowBurn) -> WindowJson:
    return WindowJson(
        long_s=burn.window.long_s,
        short_s=burn.window.short_s,
        rate_threshold=burn.window.rate_threshold,
        long_rate=burn.long_rate,
        short_rate=burn.short_rate,
        is_burning=burn.is_burning,
    )
