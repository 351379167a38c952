"""The kinds of metrics that statsd knows."""

import enum


class MetricKind(enum.Enum):
    """How a collector adds up the values of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"
