"""Runs a gateway until a signal ends it."""

from collections.abc import Callable
import signal
from typing import Any

import structlog
from twisted.internet import error
from twisted.internet import reactor as installed_reactor

from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.gateway import settings as gateway_settings

EXIT_OK = 0
EXIT_FAILED = 1


def run(
    settings: gateway_settings.GatewaySettings,
    open_ports: Callable[[gateway_module.Gateway], None],
) -> int:
    """Serves until SIGTERM; returns the exit code.

    Args:
        settings: Settings of the gateway.
        open_ports: Opens the ports that tell readiness and take
            announcements.
    """
    reactor: Any = installed_reactor
    events = structlog.get_logger()
    gateway = gateway_module.Gateway(settings, reactor)
    try:
        gateway.start()
        open_ports(gateway)
    except error.CannotListenError as failed:
        events.error("cannot-listen", detail=str(failed))
        return EXIT_FAILED
    reactor.callWhenRunning(events.info, "node-ready", node_id=settings.node_id)

    def stop(number: int, frame: Any) -> None:
        del number, frame
        reactor.callFromThread(gateway.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reactor.run(installSignalHandlers=False)
    events.info("node-stopped")
    return EXIT_OK
