"""Sends metrics to a statsd collector over UDP."""

import re

import statsd

from cranberrymux.telemetry import metric as metric_module

MAXIMUM_SERIES = 2000
TIMINGS_PER_FLUSH = 200

_UNSAFE_TAG_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]+")
_UNSAFE_PREFIX_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]+")


class StatsdSink:
    """A `MetricsSink` that sends the aggregated values at each flush.

    statsd has no tags, so the values of a metric's tags follow its name:
    `node.calls.leak-notes.lookup.done`. Between two flushes counters are
    summed, gauges keep the last value, and timings keep their first
    `TIMINGS_PER_FLUSH` values. Lost datagrams are not sent again.
    """

    def __init__(self, address: str, port: int, prefix: str) -> None:
        """Opens a UDP socket.

        Args:
            address: IP address of the collector.
            port: UDP port of the collector.
            prefix: First part of every metric name.
        """
        self._client = statsd.StatsClient(
            address,
            port,
            prefix=_UNSAFE_PREFIX_CHARACTERS.sub("_", prefix) or None,
            ipv6=":" in address,
        )
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}
        self._dropped = 0

    def count(
        self, metric: metric_module.Metric, value: int, *tags: str
    ) -> None:
        """Adds a value to a counter."""
        name = _build_name(metric, tags)
        if name in self._counters or self._admit_series():
            self._counters[name] = self._counters.get(name, 0) + value

    def gauge(
        self, metric: metric_module.Metric, value: float, *tags: str
    ) -> None:
        """Sets a gauge to a value."""
        name = _build_name(metric, tags)
        if name in self._gauges or self._admit_series():
            self._gauges[name] = value

    def timing(
        self, metric: metric_module.Metric, duration_ms: float, *tags: str
    ) -> None:
        """Records one duration, in milliseconds, of a timing."""
        name = _build_name(metric, tags)
        if name not in self._timings and not self._admit_series():
            return
        values = self._timings.setdefault(name, [])
        if len(values) < TIMINGS_PER_FLUSH:
            values.append(duration_ms)

    def flush(self) -> None:
        """Sends the values since the last flush, several in one datagram."""
        counters, self._counters = self._counters, {}
        gauges, self._gauges = self._gauges, {}
        timings, self._timings = self._timings, {}
        if self._dropped:
            name = _build_name(metric_module.Metric.METRICS_DROPPED, ())
            counters[name] = self._dropped
            self._dropped = 0
        pipeline = self._client.pipeline()
        for name, count in counters.items():
            pipeline.incr(name, count)
        for name, value in gauges.items():
            pipeline.gauge(name, value)
        for name, values in timings.items():
            for duration_ms in values:
                pipeline.timing(name, duration_ms)
        pipeline.send()

    def _admit_series(self) -> bool:
        series = len(self._counters) + len(self._gauges) + len(self._timings)
        if series < MAXIMUM_SERIES:
            return True
        self._dropped += 1
        return False


def _build_name(metric: metric_module.Metric, tags: tuple[str, ...]) -> str:
    parts = (_UNSAFE_TAG_CHARACTERS.sub("_", tag) or "_" for tag in tags)
    return ".".join((metric.value.name, *parts))
