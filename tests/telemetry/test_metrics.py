"""Metrics as a statsd collector receives them.

Guards against wrong names or sums at the collector, an unbounded number of
series in memory, a lost collector that stops the program, and metrics that
docs/METRICS.md does not list.
"""

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
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.settimeout(5)
        yield listener


def _make_sink(port):
    return metrics.build(metrics_settings.MetricsSettings(f"127.0.0.1:{port}"))


def test_flush_sends_sums_last_values_and_timings(collector):
    sink = _make_sink(collector.getsockname()[1])
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


def test_series_and_timings_above_their_limits_are_dropped(
    collector, monkeypatch
):
    monkeypatch.setattr(statsd_sink, "MAXIMUM_SERIES", 2)
    monkeypatch.setattr(statsd_sink, "TIMINGS_PER_FLUSH", 2)
    sink = _make_sink(collector.getsockname()[1])
    sink.timing(M.SYNC_TIME, 1)
    sink.timing(M.SYNC_TIME, 1)
    sink.timing(M.SYNC_TIME, 1)
    for number in range(4):
        sink.gauge(M.LEVEL, 1, str(number))
    sink.flush()
    sent = collector.recv(4096).decode().split("\n")
    assert len(sent) == 4
    assert sent[0] == "cranberrymux.telemetry.metrics-dropped:3|c"


def test_flush_without_a_listening_collector_does_not_raise(collector):
    port = collector.getsockname()[1]
    collector.close()
    sink = _make_sink(port)
    for _ in range(3):
        sink.count(M.CHANGES, 1, "accepted")
        sink.flush()


def test_no_address_gives_a_null_sink_and_an_invalid_one_raises():
    sink = metrics.build(metrics_settings.MetricsSettings(""))
    assert isinstance(sink, null_sink.NullSink)
    for address in ("collector:8125", "127.0.0.1", "127.0.0.1:0", ":1"):
        with pytest.raises(exceptions.CranberrymuxError, match="ip:port"):
            metrics.build(metrics_settings.MetricsSettings(address))


def test_docs_list_name_kind_unit_and_tags_of_every_metric():
    page = pathlib.Path("docs/METRICS.md").read_text(encoding="utf-8")
    for member in metric.Metric:
        name, kind, unit, tags = member.value
        tag_names = ", ".join(tags) or "none"
        assert f"| `{name}` | {kind.value} | {unit} | {tag_names} |" in page
