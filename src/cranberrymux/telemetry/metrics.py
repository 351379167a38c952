"""Makes the sink that the settings ask for."""

import ipaddress

from cranberrymux import exceptions
from cranberrymux.telemetry import metrics_settings
from cranberrymux.telemetry import metrics_sink
from cranberrymux.telemetry import null_sink
from cranberrymux.telemetry import statsd_sink

MetricsSink = metrics_sink.MetricsSink


def build(settings: metrics_settings.MetricsSettings) -> MetricsSink:
    """Gives a statsd sink, or one that drops all if there is no collector.

    Raises:
        CranberrymuxError: The collector's address is not an IP number.
    """
    if not settings.statsd_address:
        return null_sink.NullSink()
    try:
        ipaddress.ip_address(settings.statsd_address)
    except ValueError as error:
        raise exceptions.CranberrymuxError(
            f"statsd_address: expected an IP number ({error})"
        ) from error
    return statsd_sink.StatsdSink(settings)
