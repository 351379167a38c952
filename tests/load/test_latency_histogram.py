"""Latencies in milliseconds."""

import pytest

from cranberrymux.load import latency_histogram


def test_percentiles_and_mean_over_two_histograms():
    one = latency_histogram.LatencyHistogram()
    other = latency_histogram.LatencyHistogram()
    for value_ms in range(1, 1000):
        (one if value_ms % 2 else other).record(value_ms / 1000)
    other.record(1.0)
    one.add(other)
    report = one.report()
    assert report["count"] == 1000
    assert report["mean"] == pytest.approx(500.5, rel=1e-3)
    assert report["p50"] == pytest.approx(500, rel=2e-3)
    assert report["p99"] == pytest.approx(990, rel=2e-3)
    assert report["p99_9"] == pytest.approx(999, rel=2e-3)
    assert report["max"] == pytest.approx(1000, rel=2e-3)


def test_empty_and_out_of_range():
    one = latency_histogram.LatencyHistogram()
    assert set(one.report().values()) == {0}
    one.record(0)
    one.record(10_000)
    assert one.report()["max"] == pytest.approx(600_000, rel=2e-3)
