"""Counts call outcomes by period and writes the counts to files."""

import bisect
from typing import NamedTuple

import structlog

from cranberrymux.models import answer_kind
from cranberrymux.telemetry import event
from cranberrymux.telemetry import outcome_codec
from cranberrymux.telemetry import outcome_count
from cranberrymux.telemetry import outcomes_settings
from cranberrymux.telemetry import rotating_file

MAXIMUM_SERIES = 20_000
OVERFLOW_NAME = "other"


class _Series(NamedTuple):
    begin_s: int
    service: str
    class_name: str
    kind: answer_kind.AnswerKind


class OutcomesRecorder:
    """Counts outcomes in memory and writes each period after its end.

    It never raises: if a write fails, the lines are lost and counted in
    `lines_lost`. A crash loses the outcomes that were not yet written.
    """

    def __init__(self, settings: outcomes_settings.OutcomesSettings) -> None:
        """Stores the settings; the first write opens the file.

        Args:
            settings: File and rotation; without a file nothing is recorded.
        """
        self._file: rotating_file.RotatingFile | None = None
        if settings.outcomes_file:
            self._file = rotating_file.RotatingFile(settings)
        self._latencies: dict[_Series, list[int]] = {}
        self._lines_lost = 0

    @property
    def lines_lost(self) -> int:
        """Number of lines that could not be written, since the start."""
        return self._lines_lost

    def record(
        self,
        now_s: float,
        service: str,
        class_name: str,
        kind: answer_kind.AnswerKind,
        latency_ms: float,
    ) -> None:
        """Counts one answer.

        Args:
            now_s: Unix time in seconds.
            service: Name of the called service.
            class_name: Name of the request class of the call.
            kind: Kind of answer that the caller received.
            latency_ms: Time that the caller waited, milliseconds.
        """
        if self._file is None:
            return
        limit = outcome_codec.MAXIMUM_NAME_CHARACTERS
        series = _Series(
            _compute_period_begin_s(now_s),
            service[:limit],
            class_name[:limit],
            kind,
        )
        latencies = self._latencies.get(series)
        if latencies is None:
            latencies = self._add_series(series)
        bounds = outcome_count.LATENCY_BOUNDS_MS
        latencies[bisect.bisect_left(bounds, latency_ms)] += 1

    def flush(self, now_s: float) -> None:
        """Writes the periods that have ended; to be called every second.

        Args:
            now_s: Unix time in seconds.
        """
        begin_s = _compute_period_begin_s(now_s)
        ended = [
            series for series in self._latencies if series.begin_s != begin_s
        ]
        self._write(ended)

    def close(self) -> None:
        """Writes all periods, even the current one, and closes the file."""
        self._write(list(self._latencies))
        if self._file is not None:
            self._file.close()

    def _add_series(self, series: _Series) -> list[int]:
        if len(self._latencies) >= MAXIMUM_SERIES:
            series = series._replace(
                service=OVERFLOW_NAME, class_name=OVERFLOW_NAME
            )
        zeros = [0] * (len(outcome_count.LATENCY_BOUNDS_MS) + 1)
        return self._latencies.setdefault(series, zeros)

    def _write(self, series_list: list[_Series]) -> None:
        if not series_list or self._file is None:
            return
        lines = [
            outcome_codec.encode(
                outcome_count.OutcomeCount(
                    *series, tuple(self._latencies.pop(series))
                )
            )
            for series in series_list
        ]
        try:
            self._file.append(b"".join(lines))
        except OSError as error:
            self._lines_lost += len(lines)
            structlog.get_logger().error(
                event.Event.OUTCOMES_NOT_WRITTEN,
                error=str(error),
                lines_lost=self._lines_lost,
            )


def _compute_period_begin_s(now_s: float) -> int:
    period_s = outcome_count.PERIOD_S
    return int(now_s) // period_s * period_s
