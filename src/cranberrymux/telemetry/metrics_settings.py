"""Settings of the statsd collector that receives metrics."""

from typing import NamedTuple

from cranberrymux.settings import field

FIELDS = (
    field.Field("statsd_address", field.Kind.TEXT, default=""),
    field.Field("statsd_prefix", field.Kind.TEXT, default="cranberrymux"),
)


class MetricsSettings(NamedTuple):
    """Address and name prefix; programs include `FIELDS` in their settings.

    Attributes:
        statsd_address: `ip:port` of the collector, over UDP; empty to send no
            metrics.
        statsd_prefix: First part of every metric name.
    """

    statsd_address: str
    statsd_prefix: str = "cranberrymux"
