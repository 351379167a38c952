"""Settings of a collector of metrics."""

from typing import NamedTuple

from cranberrymux.settings import field

FIELDS = (
    field.Field("statsd_address", field.Kind.TEXT, default=""),
    field.Field("statsd_prefix", field.Kind.TEXT, default="cranberrymux"),
)


class MetricsSettings(NamedTuple):
    """Where metrics go; programs take `FIELDS` into their settings.

    Attributes:
        statsd_address: `ip:port` of the collector, UDP; empty for none.
        statsd_prefix: First part of every name.
    """

    statsd_address: str
    statsd_prefix: str = "cranberrymux"
