"""What a program needs of a collector of metrics."""

from typing import Protocol

from cranberrymux.telemetry import metric as metric_module


class MetricsSink(Protocol):
    """Takes values; never raises and never waits.

    `tags` are the values of the metric's tags, in the order in which the
    metric names them.
    """

    def count(
        self, metric: metric_module.Metric, value: int, *tags: str
    ) -> None:
        """Adds to a counter."""

    def gauge(
        self, metric: metric_module.Metric, value: float, *tags: str
    ) -> None:
        """Sets a gauge."""

    def timing(
        self, metric: metric_module.Metric, duration_ms: float, *tags: str
    ) -> None:
        """Records a duration in milliseconds."""

    def flush(self) -> None:
        """Sends what has gathered; its owner calls it every second."""
