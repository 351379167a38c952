"""Records outcomes, added up by period, in files of JSON lines."""

import bisect
from typing import NamedTuple

import structlog

from cranberrymux.models import answer_kind
from cranberrymux.telemetry import event
from cranberrymux.telemetry import outcome_codec
from cranberrymux.telemetry import outcome_count
from cranberrymux.telemetry import outcomes_settings
from cranberrymux.telemetry import rotating_file

SERIES_MAX = 20_000
OTHER = "other"


class _Series(NamedTuple):
    begin_s: int
    service: str
    class_name: str
    kind: answer_kind.AnswerKind


class OutcomesRecorder:
    """Gathers outcomes in memory; a flush writes the periods that are over.

    Recording never raises: when the disk fails, lines are lost and counted.
    After a crash, the outcomes since the last flush are lost.
    """

    def __init__(self, settings: outcomes_settings.OutcomesSettings) -> None:
        """Opens no file yet.

        Args:
            settings: Where outcomes go; without a file, nothing is kept.
        """
        self._file: rotating_file.RotatingFile | None = None
        if settings.outcomes_file:
            self._file = rotating_file.RotatingFile(settings)
        self._latencies: dict[_Series, list[int]] = {}
        self._lines_lost = 0

    @property
    def lines_lost(self) -> int:
        """Lines that could not be written."""
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
            service: Service called.
            class_name: Class of the call.
            kind: What the caller was told.
            latency_ms: Time that the caller waited.
        """
        if self._file is None:
            return
        limit = outcome_codec.NAME_CHARACTERS_MAX
        series = _Series(
            _begin_s(now_s), service[:limit], class_name[:limit], kind
        )
        latencies = self._latencies.get(series)
        if latencies is None:
            latencies = self._open(series)
        bounds = outcome_count.LATENCY_BOUNDS_MS
        latencies[bisect.bisect_left(bounds, latency_ms)] += 1

    def flush(self, now_s: float) -> None:
        """Writes the periods that are over; its owner calls it each second.

        Args:
            now_s: Unix time in seconds.
        """
        begin_s = _begin_s(now_s)
        over = [one for one in self._latencies if one.begin_s != begin_s]
        self._write(over)

    def close(self) -> None:
        """Writes all and closes the file."""
        self._write(list(self._latencies))
        if self._file is not None:
            self._file.close()

    def _open(self, series: _Series) -> list[int]:
        if len(self._latencies) >= SERIES_MAX:
            series = series._replace(service=OTHER, class_name=OTHER)
        empty = [0] * (len(outcome_count.LATENCY_BOUNDS_MS) + 1)
        return self._latencies.setdefault(series, empty)

    def _write(self, over: list[_Series]) -> None:
        if not over or self._file is None:
            return
        lines = [
            outcome_codec.encode(
                outcome_count.OutcomeCount(
                    *series, tuple(self._latencies.pop(series))
                )
            )
            for series in over
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


def _begin_s(now_s: float) -> int:
    period_s = outcome_count.PERIOD_S
    return int(now_s) // period_s * period_s
