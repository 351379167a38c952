"""The histogram of durations shows what one of the library shows.

Guards against dashboards that find other names, buckets or sums than before.
"""

import prometheus_client

from cranberrymux.gateway import duration_histogram

NAME = "request_seconds"
HELP = "Time of a request."
BOUNDS_S = (0.005, 0.1, 1.0)
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
        NAME, HELP, ("route",), buckets=BOUNDS_S, registry=expected
    )
    registry = prometheus_client.CollectorRegistry()
    made = duration_histogram.DurationHistogram(NAME, HELP, "route", BOUNDS_S)
    registry.register(made)
    for route, duration_s in DURATIONS_S:
        reference.labels(route).observe(duration_s)
        made.observe(route, duration_s)
    assert len(encode(registry)) > len(BOUNDS_S)
    assert encode(registry) == encode(expected)
    created = prometheus_client.generate_latest(registry).count(b"_created{")
    assert created == 2
