"""Makes the sink that the settings ask for."""

import ipaddress

from cranberrymux import exceptions
from cranberrymux.telemetry import metrics_settings
from cranberrymux.telemetry import metrics_sink
from cranberrymux.telemetry import null_sink
from cranberrymux.telemetry import statsd_sink

MetricsSink = metrics_sink.MetricsSink

PORT_MAX = 65535


def build(settings: metrics_settings.MetricsSettings) -> MetricsSink:
    """Gives a statsd sink, or one that drops all if there is no collector.

    Raises:
        CranberrymuxError: The collector's address is not `ip:port`.
    """
    if not settings.statsd_address:
        return null_sink.NullSink()
    host, _, port = settings.statsd_address.rpartition(":")
    try:
        address = str(ipaddress.ip_address(host.strip("[]")))
        number = int(port)
    except ValueError as error:
        raise _wrong_address(settings) from error
    if not 0 < number <= PORT_MAX:
        raise _wrong_address(settings)
    return statsd_sink.StatsdSink(address, number, settings.statsd_prefix)


def _wrong_address(
    settings: metrics_settings.MetricsSettings,
) -> exceptions.CranberrymuxError:
    return exceptions.CranberrymuxError(
        f"statsd_address: expected ip:port, not {settings.statsd_address!r}"
    )
