"""Runs a gateway until a signal ends it."""

from collections.abc import Callable
from collections.abc import Sequence
import signal
from typing import Any

import structlog
from twisted.internet import error
from twisted.internet import reactor as installed_reactor
from twisted.internet import task

from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.gateway import settings as gateway_settings

EXIT_OK = 0
EXIT_FAILED = 1
RELOAD_S = 5.0


def run(
    settings: gateway_settings.GatewaySettings,
    open_ports: Callable[[gateway_module.Gateway], None],
    read_control_instances: Callable[[], Sequence[str]],
) -> int:
    """Serves until SIGTERM; returns the exit code.

    Args:
        settings: Settings of the gateway.
        open_ports: Opens the ports that tell readiness and take
            announcements.
        read_control_instances: Reads the settings again; returns `ip:port`
            of the control instances that they name now.
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

    def reload() -> None:
        gateway.follow_control_instances(read_control_instances())

    def hang_up(number: int, frame: Any) -> None:
        del number, frame
        events.info("settings-reloaded")
        reactor.callFromThread(reload)

    # The settings may change without a signal.
    task.LoopingCall(reload).start(RELOAD_S, now=False)
    signal.signal(signal.SIGHUP, hang_up)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reactor.run(installSignalHandlers=False)
    events.info("node-stopped")
    return EXIT_OK
