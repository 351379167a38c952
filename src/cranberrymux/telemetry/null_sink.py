"""A sink for programs without a collector of metrics."""

from cranberrymux.telemetry import metric as metric_module


class NullSink:
    """Takes metrics and drops them; a `MetricsSink`."""

    def count(
        self, metric: metric_module.Metric, value: int, *tags: str
    ) -> None:
        """Drops the value."""

    def gauge(
        self, metric: metric_module.Metric, value: float, *tags: str
    ) -> None:
        """Drops the value."""

    def timing(
        self, metric: metric_module.Metric, duration_ms: float, *tags: str
    ) -> None:
        """Drops the value."""

    def flush(self) -> None:
        """Does nothing."""
