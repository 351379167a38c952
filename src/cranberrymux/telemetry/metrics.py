"""Builds the metrics sink that the settings select."""

import ipaddress

from cranberrymux import exceptions
from cranberrymux.telemetry import metrics_settings
from cranberrymux.telemetry import metrics_sink
from cranberrymux.telemetry import null_sink
from cranberrymux.telemetry import statsd_sink

MetricsSink = metrics_sink.MetricsSink

_MAXIMUM_PORT = 65535


def build(settings: metrics_settings.MetricsSettings) -> MetricsSink:
    """Returns a statsd sink, or a null sink if no collector is set.

    Raises:
        CranberrymuxError: The collector's address is not `ip:port`.
    """
    if not settings.statsd_address:
        return null_sink.NullSink()
    host, _, port = settings.statsd_address.rpartition(":")
    try:
        address = str(ipaddress.ip_address(host.strip("[]")))
        port_number = int(port)
    except ValueError as error:
        raise _invalid_address_error(settings) from error
    if not 0 < port_number <= _MAXIMUM_PORT:
        raise _invalid_address_error(settings)
    return statsd_sink.StatsdSink(address, port_number, settings.statsd_prefix)


def _invalid_address_error(
    settings: metrics_settings.MetricsSettings,
) -> exceptions.CranberrymuxError:
    return exceptions.CranberrymuxError(
        f"statsd_address: expected ip:port, not {settings.statsd_address!r}"
    )
