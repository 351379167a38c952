"""Runs a gateway until a signal ends it."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import gc
import signal
from typing import Any

import structlog
from twisted.internet import error
from twisted.internet import reactor as installed_reactor
from twisted.internet import task

from cranberrymux.gateway import boot_clock
from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.settings import settings_watch

EXIT_OK = 0
EXIT_FAILED = 1
RELOAD_INTERVAL_S = 5.0
# Allocations and collections between two collections of each generation.
# Requests leave few reference cycles, and each collection pauses the node.
COLLECTION_THRESHOLDS = (20_000, 20, 100)


def run(
    settings: gateway_settings.GatewaySettings,
    open_ports: Callable[[gateway_module.Gateway], None],
    watch: settings_watch.SettingsWatch,
    get_control_instances: Callable[[Mapping[str, Any]], Sequence[str]],
) -> int:
    """Serves until SIGTERM or SIGINT; returns the exit code.

    Args:
        settings: The gateway's settings.
        open_ports: Opens the ports of readiness checks and announcements.
        watch: The settings file, which is read again while this runs.
        get_control_instances: Returns `ip:port` of the control instances that
            the content of the file names.
    """
    reactor: Any = installed_reactor
    events = structlog.get_logger()
    gateway = gateway_module.Gateway(settings, reactor)
    try:
        gateway.start()
        open_ports(gateway)
    except error.CannotListenError as cannot_listen:
        events.error("cannot-listen", detail=str(cannot_listen))
        return EXIT_FAILED
    gateway.note_settings(watch.digest, watch.since_unix_ms)
    reactor.callWhenRunning(
        events.info,
        "node-ready",
        node_id=settings.node_id,
        settings_digest=watch.digest,
    )

    def handle_stop_signal(signal_number: int, frame: Any) -> None:
        del signal_number, frame
        reactor.callFromThread(gateway.stop)

    clock = boot_clock.BootClock()

    def reload_settings() -> None:
        if watch.check(clock.now_unix_ms()):
            gateway.note_settings(watch.digest, watch.since_unix_ms)
        gateway.add_control_instances(get_control_instances(watch.values))

    def handle_hangup(signal_number: int, frame: Any) -> None:
        del signal_number, frame
        events.info("settings-reloaded")
        reactor.callFromThread(reload_settings)

    # The settings file may change without a SIGHUP.
    task.LoopingCall(reload_settings).start(RELOAD_INTERVAL_S, now=False)
    signal.signal(signal.SIGHUP, handle_hangup)
    signal.signal(signal.SIGTERM, handle_stop_signal)
    signal.signal(signal.SIGINT, handle_stop_signal)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    reactor.run(installSignalHandlers=False)
    events.info("node-stopped")
    return EXIT_OK
