"""Settings of a collector of metrics."""

from typing import NamedTuple

from cranberrymux.settings import field

_Kind = field.Kind

FIELDS = (
    field.Field("statsd_address", _Kind.TEXT, default=""),
    field.Field(
        "statsd_port", _Kind.INTEGER, default=8125, minimum=1, maximum=65535
    ),
    field.Field("statsd_prefix", _Kind.TEXT, default="cranberrymux"),
)


class MetricsSettings(NamedTuple):
    """Where metrics go; programs take `FIELDS` into their settings.

    Attributes:
        statsd_address: IP number of the collector; empty for none.
        statsd_port: UDP port of the collector.
        statsd_prefix: First part of every name.
    """

    statsd_address: str
    statsd_port: int
    statsd_prefix: str
