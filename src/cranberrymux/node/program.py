"""Runs a node as a process: listening ports, timers and signals."""

import gc
import signal
from typing import Any

import structlog
from twisted.internet import reactor as default_reactor
from twisted.internet import task
from twisted.web import server as web_server

from cranberrymux.node import announce_site
from cranberrymux.node import clock
from cranberrymux.node import load_poller
from cranberrymux.node import node
from cranberrymux.node import settings as node_settings
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory
from cranberrymux.telemetry import event
from cranberrymux.telemetry import metrics
from cranberrymux.telemetry import metrics_settings
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings

_LOOPBACK = "127.0.0.1"
_BACKLOG_CONNECTIONS = 1024
_HOUSEKEEPING_INTERVAL_S = 0.1
_REPORT_INTERVAL_S = 1.0
_CLOSE_DELAY_S = 0.5
_COLLECTION_THRESHOLD_OBJECTS = 20_000

_log = structlog.get_logger()


class Program:
    """Owns a node's listening ports, timers and signal handlers."""

    def __init__(self, settings: node_settings.NodeSettings, key: str) -> None:
        """Builds the node, which `run` starts.

        Args:
            settings: Settings of the node.
            key: The cluster key, which all processes share.
        """
        self._reactor: Any = default_reactor
        self._settings = settings
        self._node = node.Node(
            settings,
            key,
            self._reactor,
            clock.SystemClock(),
            _make_clients(settings, key),
            metrics.build(
                metrics_settings.MetricsSettings(
                    settings.statsd_address, settings.statsd_prefix
                )
            ),
            self._close,
        )
        message_limits = limits.Limits(
            body_bytes=settings.body_limit_bytes,
            buffered_bytes=settings.buffered_body_bytes,
            holds_waiting_bodies=True,
        )
        self._ingress_factory = server_factory.ServerFactory(
            self._node.ingress, message_limits
        )
        self._egress_factory = server_factory.ServerFactory(
            self._node.egress, message_limits
        )
        self._load_poller = load_poller.LoadPoller(
            self._reactor,
            lambda: self._node.ingress.backend,
            self._node.set_load,
        )
        self._ports: list[Any] = []

    def run(self) -> int:
        """Runs the reactor until a stop is complete.

        Returns:
            The exit code, 0.
        """
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=True)
        return 0

    def _start(self) -> None:
        settings = self._settings
        site = announce_site.AnnounceSite(
            self._node.announce, self._node.drain, self._node.get_status
        )
        self._listen(
            settings.ingress_port, self._ingress_factory, settings.address
        )
        self._listen(settings.egress_port, self._egress_factory, _LOOPBACK)
        self._listen(
            settings.announce_port,
            _make_site(site.app.resource()),
            _LOOPBACK,
        )
        self._reactor.addSystemEventTrigger(
            "before", "shutdown", self._node.directory.stop
        )
        self._install_signal_handlers()
        task.LoopingCall(self._node.run_housekeeping).start(
            _HOUSEKEEPING_INTERVAL_S
        )
        task.LoopingCall(self._node.report).start(_REPORT_INTERVAL_S)
        self._load_poller.start()
        self._node.directory.start()
        _tune_garbage_collector()
        _log.info(event.Event.NODE_READY, node_id=settings.node_id)

    def _listen(self, port: int, factory: Any, interface: str) -> None:
        self._ports.append(
            self._reactor.listenTCP(
                port, factory, interface=interface, backlog=_BACKLOG_CONNECTIONS
            )
        )

    def _install_signal_handlers(self) -> None:
        def handle(number: int, frame: Any) -> None:
            del number, frame
            self._reactor.callFromThread(self._node.stop)

        signal.signal(signal.SIGTERM, handle)
        signal.signal(signal.SIGINT, handle)

    def _close(self) -> None:
        for port in self._ports:
            port.stopListening()
        self._ingress_factory.close_connections()
        self._egress_factory.close_connections()
        # The delay lets the last answers and the last heartbeat be sent.
        self._reactor.callLater(_CLOSE_DELAY_S, self._reactor.stop)


def _make_clients(
    settings: node_settings.NodeSettings, key: str
) -> list[control_client.ControlClient]:
    clients = []
    for address in settings.control_addresses:
        clients.append(
            control_client.ControlClient(
                control_client_settings.ControlClientSettings(
                    address.host, address.port, key, settings.control_timeout_ms
                )
            )
        )
    return clients


def _tune_garbage_collector() -> None:
    """Makes full garbage collections, which pause calls, rare and short."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_COLLECTION_THRESHOLD_OBJECTS, 20, 100)


def _make_site(resource: Any) -> Any:
    make: Any = web_server.Site
    return make(resource)
