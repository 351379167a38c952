"""Metrics as a collector sees them."""

import pathlib
import socket

import pytest

from cranberrymux import exceptions
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics
from cranberrymux.telemetry import metrics_settings
from cranberrymux.telemetry import null_sink
from cranberrymux.telemetry import statsd_sink

M = metric.Metric


@pytest.fixture
def collector():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
        one.bind(("127.0.0.1", 0))
        one.settimeout(5)
        yield one


def _sink(port):
    return metrics.build(metrics_settings.MetricsSettings(f"127.0.0.1:{port}"))


def test_a_flush_sends_sums_last_values_and_timings(collector):
    sink = _sink(collector.getsockname()[1])
    sink.count(M.CALLS, 2, "leak notes", "a.b", "done")
    sink.count(M.CALLS, 3, "leak notes", "a.b", "done")
    sink.gauge(M.LEVEL, 7, "s")
    sink.gauge(M.LEVEL, 5, "s")
    sink.timing(M.COMMIT_TIME, 1.5)
    sink.flush()
    assert sorted(collector.recv(4096).decode().split("\n")) == [
        "cranberrymux.control.commit-time:1.500000|ms",
        "cranberrymux.node.calls.leak_notes.a_b.done:5|c",
        "cranberrymux.node.level.s:5|g",
    ]
    sink.flush()
    sink.count(M.LEASES, 1)
    sink.flush()
    assert collector.recv(4096) == b"cranberrymux.control.leases:1|c"


def test_series_and_timings_are_bounded(collector, monkeypatch):
    monkeypatch.setattr(statsd_sink, "SERIES_MAX", 2)
    monkeypatch.setattr(statsd_sink, "TIMINGS_PER_FLUSH", 2)
    sink = _sink(collector.getsockname()[1])
    sink.timing(M.SYNC_TIME, 1)
    sink.timing(M.SYNC_TIME, 1)
    sink.timing(M.SYNC_TIME, 1)
    for one in range(4):
        sink.gauge(M.LEVEL, 1, str(one))
    sink.flush()
    sent = collector.recv(4096).decode().split("\n")
    assert len(sent) == 4
    assert sent[0] == "cranberrymux.telemetry.metrics-dropped:3|c"


def test_a_lost_collector_harms_nothing(collector):
    port = collector.getsockname()[1]
    collector.close()
    sink = _sink(port)
    for _ in range(3):
        sink.count(M.CHANGES, 1, "accepted")
        sink.flush()


def test_no_collector_and_a_wrong_one():
    none = metrics.build(metrics_settings.MetricsSettings(""))
    assert isinstance(none, null_sink.NullSink)
    for wrong in ("collector:8125", "127.0.0.1", "127.0.0.1:0", ":1"):
        with pytest.raises(exceptions.CranberrymuxError, match="ip:port"):
            metrics.build(metrics_settings.MetricsSettings(wrong))


def test_the_page_tells_name_kind_unit_and_tags_of_each():
    page = pathlib.Path("docs/METRICS.md").read_text(encoding="utf-8")
    for one in metric.Metric:
        name, kind, unit, tags = one.value
        told = ", ".join(tags) or "none"
        assert f"| `{name}` | {kind.value} | {unit} | {told} |" in page
