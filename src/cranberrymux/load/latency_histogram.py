"""Latencies in an HdrHistogram."""

from hdrh import histogram

from cranberrymux.load import report

MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3


class LatencyHistogram:
    """Records seconds, reports milliseconds."""

    def __init__(self) -> None:
        """Starts empty."""
        self._histogram = histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)

    def record(self, duration_s: float) -> None:
        """Records one duration, kept to the microsecond."""
        value_us = min(MAX_US, max(1, round(duration_s * 1_000_000)))
        self._histogram.record_value(value_us)

    def add(self, other: "LatencyHistogram") -> None:
        """Adds all values of another histogram."""
        self._histogram.add(other._histogram)

    def report(self) -> report.LatencyReport:
        """Gives the percentiles."""
        histogram_ = self._histogram
        count = int(histogram_.total_count)
        mean_us = histogram_.get_mean_value() if count else 0.0
        return report.LatencyReport(
            count=count,
            mean=round(mean_us / 1000, 3),
            p50=self._percentile_ms(50),
            p99=self._percentile_ms(99),
            p99_9=self._percentile_ms(99.9),
            max=self._percentile_ms(100),
        )

    def _percentile_ms(self, percentile: float) -> float:
        if not self._histogram.total_count:
            return 0.0
        return self._histogram.get_value_at_percentile(percentile) / 1000
