"""Latencies in an HdrHistogram."""

from hdrh import histogram

from cranberrymux.load import report

MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 99, 99.9, 100)


class LatencyHistogram:
    """Records seconds, reports milliseconds."""

    def __init__(self) -> None:
        """Starts empty."""
        self._histogram = histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
        # The histogram's own mean walks over every count it has room for.
        self._sum_s = 0.0

    def record(self, duration_s: float) -> None:
        """Records one duration, kept to the microsecond."""
        value_us = min(MAX_US, max(1, round(duration_s * 1_000_000)))
        self._histogram.record_value(value_us)
        self._sum_s += duration_s

    def add(self, other: "LatencyHistogram") -> None:
        """Adds all values of another histogram."""
        self._histogram.add(other._histogram)
        self._sum_s += other._sum_s

    def report(self) -> report.LatencyReport:
        """Gives the percentiles."""
        count = int(self._histogram.total_count)
        values_us = self._histogram.get_percentile_to_value_dict(PERCENTILES)
        p50, p99, p99_9, longest = (
            values_us[percentile] / 1000 if count else 0.0
            for percentile in PERCENTILES
        )
        return report.LatencyReport(
            count=count,
            mean=round(self._sum_s * 1000 / max(1, count), 3),
            p50=p50,
            p99=p99,
            p99_9=p99_9,
            max=longest,
        )
