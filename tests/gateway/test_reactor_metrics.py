"""Metrics without locks against those of the library.

Guards against counts that get lost, and against amounts on the bound of a
bucket that count in another one.
"""

import prometheus_client

from cranberrymux.gateway import reactor_metrics

BOUNDS = (0.005, 0.01, 0.5)
AMOUNTS = (0.0, 0.004, 0.005, 0.0051, 0.01, 0.5, 0.6, 100.0)


def count_with(module):
    registry = prometheus_client.CollectorRegistry()
    counter = module.Counter("events", "Events.", ("kind",), registry=registry)
    histogram = module.Histogram(
        "wait", "Waits.", ("kind",), buckets=BOUNDS, registry=registry
    )
    for amount in AMOUNTS:
        for kind in ("first", "second"):
            counter.labels(kind).inc(amount)
            counter.labels(kind).inc()
        histogram.labels("first").observe(amount)
    lines = prometheus_client.generate_latest(registry).decode().splitlines()
    return [line for line in lines if "_created{" not in line]


def test_shows_what_the_library_shows():
    assert count_with(reactor_metrics) == count_with(prometheus_client)
