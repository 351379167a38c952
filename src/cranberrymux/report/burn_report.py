"""Builds the report on service-level burn from recorded outcomes."""

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
    """The evaluation of one objective and the answers behind it.

    Attributes:
        result: Error budget and burn rates at the time of the report.
        series: Answers that the objective covers, over time.
    """

    result: burn_result.BurnResult
    series: outcome_series.OutcomeSeries


class BurnReport(NamedTuple):
    """The evaluation of all objectives at one point in time.

    Attributes:
        now_s: Time of the report, Unix seconds.
        objectives: The objectives, ordered by status (exhausted, burning,
            within, no data) and then by least budget left.
        files_read: Number of files of recorded outcomes that were read.
        lines_read: Number of lines that were parsed.
        lines_skipped: Number of lines that were incomplete, too long or not a
            record of outcomes.
    """

    now_s: float
    objectives: tuple[ObjectiveReport, ...]
    files_read: int
    lines_read: int
    lines_skipped: int

    @property
    def is_within(self) -> bool:
        """True if no budget is burning or exhausted."""
        return all(
            objective.result.status in (_Status.WITHIN, _Status.NO_DATA)
            for objective in self.objectives
        )


def build(settings: report_settings.ReportSettings, now_s: float) -> BurnReport:
    """Reads the recorded outcomes and evaluates each objective.

    Args:
        settings: Files to read, objectives and windows.
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
                _add_count(objective, series, count)
    reports = [
        ObjectiveReport(
            evaluation.evaluate(objective, series, settings.windows, now_s),
            series,
        )
        for objective, series in zip(
            settings.objectives, all_series, strict=True
        )
    ]
    reports.sort(key=_severity_key)
    return BurnReport(
        now_s,
        tuple(reports),
        reader.files_read,
        reader.lines_read,
        reader.lines_skipped,
    )


def _add_count(
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


def _severity_key(report: ObjectiveReport) -> tuple[int, float]:
    result = report.result
    return _WORST_FIRST.index(result.status), result.budget_left
