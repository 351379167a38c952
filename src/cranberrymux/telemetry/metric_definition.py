"""Describes the values and tags of a metric."""

from typing import NamedTuple

from cranberrymux.telemetry import metric_kind


class MetricDefinition(NamedTuple):
    """Name, kind, unit and tags of one metric.

    Attributes:
        name: Dotted name, without the prefix of `statsd_prefix`.
        kind: How the collector combines its values.
        unit: Unit of its values.
        tags: Names of its tags, in the order in which a sink takes their
            values.
    """

    name: str
    kind: metric_kind.MetricKind
    unit: str
    tags: tuple[str, ...] = ()
