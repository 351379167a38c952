"""The histogram of durations shows what one of the library shows.

Guards against dashboards that find other names, buckets or sums than before.
"""

import prometheus_client
from prometheus_client import metrics_core

from cranberrymux.gateway import event_histogram
from cranberrymux.gateway import label_children

NAME = "request_seconds"
HELP = "Time of a request."
DURATIONS_S = (
    ("read", 0.001),
    ("read", 0.005),
    ("write", 0.05),
    ("read", 0.1000001),
    ("read", 7.0),
)


def encode(registry):
    """Returns the lines of all samples but the times of creation."""
    text = prometheus_client.generate_latest(registry).decode()
    return [
        line
        for line in text.splitlines()
        if line.startswith("#") or "_created" not in line
    ]


def test_shows_the_same_as_a_histogram_of_the_library():
    expected = prometheus_client.CollectorRegistry()
    reference = prometheus_client.Histogram(
        NAME,
        HELP,
        ("route",),
        buckets=event_histogram.BOUNDS_S,
        registry=expected,
    )
    registry = prometheus_client.CollectorRegistry()
    made = label_children.LabelChildren(event_histogram.EventHistogram)
    metric = metrics_core.Metric(NAME, HELP, "histogram")
    registry.register(
        label_children.ChildrenCollector(metric, ("route",), made)
    )
    for route, duration_s in DURATIONS_S:
        reference.labels(route).observe(duration_s)
        made[route,].observe(duration_s)
    assert len(encode(registry)) > len(event_histogram.BOUNDS_S)
    assert encode(registry) == encode(expected)
    created = prometheus_client.generate_latest(registry).count(b"_created{")
    assert created == 2
