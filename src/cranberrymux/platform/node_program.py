"""The node that runs beside a backend server: command line and settings."""

import argparse
import sys

from cranberrymux import exceptions
from cranberrymux.decisions.zones import zone_settings
from cranberrymux.gateway import boot_clock
from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.gateway import program
from cranberrymux.platform import node_ports
from cranberrymux.platform import settings_file
from cranberrymux.settings import settings_watch
from cranberrymux.telemetry import logs

EXIT_SETTINGS = 2
DEFAULT_ZONE_PRICE_MS = zone_settings.ZoneSettings().price_s * 1000
MAXIMUM_ZONE_PRICE_MS = 60_000.0


def _parse_price_ms(text: str) -> float:
    """Parses the price of leaving a zone; argparse reports a ValueError."""
    price_ms = float(text)
    if not 0.0 <= price_ms <= MAXIMUM_ZONE_PRICE_MS:
        raise ValueError(text)
    return price_ms


def main() -> int:
    """Runs a node until a signal ends it; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="cranberrymux.platform.node_main",
        description="Routes HTTP requests on the instance of a backend server.",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        metavar="PORT",
        help="serve Prometheus metrics at /metrics and explanations at /explain"
        " on this TCP port",
    )
    parser.add_argument(
        "--zone-price-ms",
        type=_parse_price_ms,
        default=DEFAULT_ZONE_PRICE_MS,
        metavar="MS",
        help="a request leaves its availability zone only where it is expected"
        " to end so many milliseconds earlier, beyond the latency"
        f" (0 to {MAXIMUM_ZONE_PRICE_MS:.0f}, default: %(default)s)",
    )
    arguments = parser.parse_args()
    try:
        values = settings_file.read()
        settings = settings_file.make_gateway_settings(values)._replace(
            metrics_port=arguments.metrics_port,
            zones=zone_settings.ZoneSettings(
                price_s=arguments.zone_price_ms / 1000
            ),
        )
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS

    logs.configure("cranberrymux-node", node=settings.node_id)

    def open_ports(gateway: gateway_module.Gateway) -> None:
        ready = node_ports.ReadyPort(gateway)
        gateway.listen(settings.ready_address, ready)
        announce = node_ports.AnnouncePort(gateway)
        gateway.listen(settings.announce_address, announce)

    watch = settings_watch.SettingsWatch(
        settings_file.read,
        values,
        boot_clock.BootClock().now_unix_ms(),
        settings_file.APPLIED_KEYS,
    )
    return program.run(
        settings, open_ports, watch, settings_file.get_control_instances
    )
