"""The interface through which programs record metrics."""

from typing import Protocol

from cranberrymux.telemetry import metric as metric_module


class MetricsSink(Protocol):
    """Records values of metrics; never raises and never blocks.

    `tags` are the values of the metric's tags, in the order of
    `MetricDefinition.tags`.
    """

    def count(
        self, metric: metric_module.Metric, value: int, *tags: str
    ) -> None:
        """Adds a value to a counter."""

    def gauge(
        self, metric: metric_module.Metric, value: float, *tags: str
    ) -> None:
        """Sets a gauge to a value."""

    def timing(
        self, metric: metric_module.Metric, duration_ms: float, *tags: str
    ) -> None:
        """Records one duration, in milliseconds, of a timing."""

    def flush(self) -> None:
        """Sends the values since the last flush; to be called every second."""
