"""Percentiles and means of recorded latencies.

Guards against reports in the wrong unit, against percentiles of kinds that are
lost when their histograms are added up for the total, and against errors on
durations that are 0 or beyond the range of the histogram.
"""

import pytest

from cranberrymux.load import latency_histogram


def test_added_histograms_report_percentiles_and_mean_in_milliseconds():
    histogram = latency_histogram.LatencyHistogram()
    other = latency_histogram.LatencyHistogram()
    for value_ms in range(1, 1000):
        (histogram if value_ms % 2 else other).record(value_ms / 1000)
    other.record(1.0)
    histogram.add(other)
    report = histogram.report()
    assert report["count"] == 1000
    assert report["mean"] == pytest.approx(500.5, rel=1e-3)
    assert report["p50"] == pytest.approx(500, rel=2e-3)
    assert report["p99"] == pytest.approx(990, rel=2e-3)
    assert report["p99_9"] == pytest.approx(999, rel=2e-3)
    assert report["max"] == pytest.approx(1000, rel=2e-3)


def test_empty_histogram_reports_zeros_and_values_out_of_range_are_clamped():
    histogram = latency_histogram.LatencyHistogram()
    assert set(histogram.report().values()) == {0}
    histogram.record(0)
    histogram.record(10_000)
    assert histogram.report()["max"] == pytest.approx(600_000, rel=2e-3)
