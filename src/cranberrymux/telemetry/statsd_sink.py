"""Sends metrics to a statsd collector over UDP."""

import re

import statsd

from cranberrymux.telemetry import metric as metric_module

SERIES_MAX = 2000
TIMINGS_PER_FLUSH = 200

_UNSAFE = re.compile(r"[^A-Za-z0-9_-]+")
_UNSAFE_IN_PREFIX = re.compile(r"[^A-Za-z0-9_.-]+")


class StatsdSink:
    """Gathers values and sends them at each flush; a `MetricsSink`.

    statsd has no tags: the values of a metric's tags follow its name, as
    `node.calls.leak-notes.lookup.done`. Counters of one second are summed,
    gauges keep the last value, and of each timing the first values of the
    second are sent. Datagrams that get lost are not sent again.
    """

    def __init__(self, address: str, port: int, prefix: str) -> None:
        """Opens a UDP socket.

        Args:
            address: IP number of the collector.
            port: UDP port of the collector.
            prefix: First part of every name.
        """
        self._client = statsd.StatsClient(
            address,
            port,
            prefix=_UNSAFE_IN_PREFIX.sub("_", prefix) or None,
            ipv6=":" in address,
        )
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}
        self._dropped = 0

    def count(
        self, metric: metric_module.Metric, value: int, *tags: str
    ) -> None:
        """Adds to a counter."""
        name = _name(metric, tags)
        if name in self._counters or self._has_room():
            self._counters[name] = self._counters.get(name, 0) + value

    def gauge(
        self, metric: metric_module.Metric, value: float, *tags: str
    ) -> None:
        """Sets a gauge."""
        name = _name(metric, tags)
        if name in self._gauges or self._has_room():
            self._gauges[name] = value

    def timing(
        self, metric: metric_module.Metric, duration_ms: float, *tags: str
    ) -> None:
        """Records a duration in milliseconds."""
        name = _name(metric, tags)
        if name not in self._timings and not self._has_room():
            return
        values = self._timings.setdefault(name, [])
        if len(values) < TIMINGS_PER_FLUSH:
            values.append(duration_ms)

    def flush(self) -> None:
        """Sends what has gathered, in as few datagrams as fit."""
        counters, self._counters = self._counters, {}
        gauges, self._gauges = self._gauges, {}
        timings, self._timings = self._timings, {}
        if self._dropped:
            name = _name(metric_module.Metric.METRICS_DROPPED, ())
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

    def _has_room(self) -> bool:
        series = len(self._counters) + len(self._gauges) + len(self._timings)
        if series < SERIES_MAX:
            return True
        self._dropped += 1
        return False


def _name(metric: metric_module.Metric, tags: tuple[str, ...]) -> str:
    parts = (_UNSAFE.sub("_", tag) or "_" for tag in tags)
    return ".".join((metric.value.name, *parts))
