"""The kinds of statsd metrics."""

import enum


class MetricKind(enum.Enum):
    """How a collector combines the values of a metric.

    Attributes:
        COUNTER: Adds them up.
        GAUGE: Keeps the last one.
        TIMING: Computes statistics over durations in milliseconds.
    """

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"
