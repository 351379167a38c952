"""Counts and logs bytes that do not answer a pending call."""

import structlog

from cranberrymux.node.http import unexpected_answer
from cranberrymux.telemetry import event
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink

_log = structlog.get_logger()


class UnexpectedAnswers:
    """Receives the reports of a node's connections."""

    def __init__(self, metrics: metrics_sink.MetricsSink) -> None:
        """Keeps where the occurrences are counted."""
        self._metrics = metrics

    def note(self, unexpected: unexpected_answer.UnexpectedAnswer) -> None:
        """Counts and logs one occurrence."""
        reason = unexpected.kind.value
        self._metrics.count(metric.Metric.UNEXPECTED_ANSWERS, 1, reason)
        _log.info(
            event.Event.UNEXPECTED_ANSWER,
            reason=reason,
            request_id=unexpected.request_id.decode("latin-1"),
            answer_id=unexpected.answer_id.decode("latin-1"),
        )
