"""Puts the report on service-level burn together."""

from typing import NamedTuple

from cranberrymux.decisions.burn import burn_result
from cranberrymux.decisions.burn import burn_status
from cranberrymux.decisions.burn import evaluation
from cranberrymux.decisions.burn import objective as objective_module
from cranberrymux.decisions.burn import outcome_series
from cranberrymux.models import answer_kind
from cranberrymux.report import report_settings
from cranberrymux.telemetry import outcome_count
from cranberrymux.telemetry import outcomes_reader

_Status = burn_status.BurnStatus

_WORST_FIRST = (
    _Status.EXHAUSTED,
    _Status.BURNING,
    _Status.WITHIN,
    _Status.NO_DATA,
)


class ObjectiveReport(NamedTuple):
    """One objective with its answers.

    Attributes:
        result: How it stands.
        series: Its answers over time.
    """

    result: burn_result.BurnResult
    series: outcome_series.OutcomeSeries


class BurnReport(NamedTuple):
    """How every objective stands.

    Attributes:
        now_s: Time of the report, Unix seconds.
        objectives: The objectives, the worst first.
        files_read: Files of outcomes read.
        lines_read: Lines understood.
        lines_skipped: Lines torn or of another kind.
    """

    now_s: float
    objectives: tuple[ObjectiveReport, ...]
    files_read: int
    lines_read: int
    lines_skipped: int

    @property
    def is_within(self) -> bool:
        """True if no budget burns or is exhausted."""
        return all(
            one.result.status in (_Status.WITHIN, _Status.NO_DATA)
            for one in self.objectives
        )


def build(settings: report_settings.ReportSettings, now_s: float) -> BurnReport:
    """Reads the recorded outcomes and evaluates each objective.

    Args:
        settings: What to read and measure by.
        now_s: Time of the report, Unix seconds.

    Raises:
        OSError: A folder or file cannot be read.
    """
    reader = outcomes_reader.OutcomesReader(settings.outcomes)
    all_series = [outcome_series.OutcomeSeries() for _ in settings.objectives]
    for count in reader.read():
        for objective, series in zip(
            settings.objectives, all_series, strict=True
        ):
            if objective.covers(count.service, count.class_name):
                _add(objective, series, count)
    reports = [
        ObjectiveReport(
            evaluation.evaluate(objective, series, settings.windows, now_s),
            series,
        )
        for objective, series in zip(
            settings.objectives, all_series, strict=True
        )
    ]
    reports.sort(key=_badness)
    return BurnReport(
        now_s,
        tuple(reports),
        reader.files_read,
        reader.lines_read,
        reader.lines_skipped,
    )


def _add(
    objective: objective_module.Objective,
    series: outcome_series.OutcomeSeries,
    count: outcome_count.OutcomeCount,
) -> None:
    good = 0
    if count.kind is answer_kind.AnswerKind.DONE:
        good = count.answers
        if objective.latency_ms is not None:
            good = count.answers_within(objective.latency_ms)
    series.add(count.begin_s, good, count.answers)


def _badness(report: ObjectiveReport) -> tuple[int, float]:
    result = report.result
    return _WORST_FIRST.index(result.status), result.budget_left
