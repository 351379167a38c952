"""The definition of one metric."""

from typing import NamedTuple

from cranberrymux.telemetry import metric_kind


class MetricDefinition(NamedTuple):
    """What a metric counts.

    Attributes:
        name: Dotted name, after the prefix.
        kind: How values add up.
        unit: Unit of a value.
        tags: Names of the tags, in the order of their values.
    """

    name: str
    kind: metric_kind.MetricKind
    unit: str
    tags: tuple[str, ...] = ()
