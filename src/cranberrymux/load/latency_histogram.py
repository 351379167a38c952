"""A histogram of latencies with a bounded relative error."""

from hdrh import histogram

from cranberrymux.load import report

MAXIMUM_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 99, 99.9, 100)


class LatencyHistogram:
    """Records latencies from 1 us to 600 s to three significant digits."""

    def __init__(self) -> None:
        """Starts empty."""
        self._histogram = histogram.HdrHistogram(
            1, MAXIMUM_LATENCY_US, SIGNIFICANT_DIGITS
        )
        # HdrHistogram computes a mean by iterating over all its buckets.
        self._sum_s = 0.0

    def record(self, duration_s: float) -> None:
        """Records a duration, rounded to microseconds.

        Args:
            duration_s: Seconds; values out of range count as the nearest limit
                in the percentiles, and as they are in the mean.
        """
        value_us = min(
            MAXIMUM_LATENCY_US, max(1, round(duration_s * 1_000_000))
        )
        self._histogram.record_value(value_us)
        self._sum_s += duration_s

    def add(self, other: "LatencyHistogram") -> None:
        """Adds all values of another histogram to this one."""
        self._histogram.add(other._histogram)
        self._sum_s += other._sum_s

    def report(self) -> report.LatencyReport:
        """Returns count, mean and percentiles in milliseconds."""
        count = int(self._histogram.total_count)
        values_us = self._histogram.get_percentile_to_value_dict(PERCENTILES)
        p50, p99, p99_9, maximum = (
            values_us[percentile] / 1000 if count else 0.0
            for percentile in PERCENTILES
        )
        return report.LatencyReport(
            count=count,
            mean=round(self._sum_s * 1000 / max(1, count), 3),
            p50=p50,
            p99=p99,
            p99_9=p99_9,
            max=maximum,
        )
