"""The metrics sink of programs without a collector."""

from cranberrymux.telemetry import metric as metric_module


class NullSink:
    """A `MetricsSink` that discards every value."""

    def count(
        self, metric: metric_module.Metric, value: int, *tags: str
    ) -> None:
        """Discards the value."""

    def gauge(
        self, metric: metric_module.Metric, value: float, *tags: str
    ) -> None:
        """Discards the value."""

    def timing(
        self, metric: metric_module.Metric, duration_ms: float, *tags: str
    ) -> None:
        """Discards the value."""

    def flush(self) -> None:
        """Does nothing."""
