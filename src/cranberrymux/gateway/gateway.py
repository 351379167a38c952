"""Assembles a gateway and runs it from start to stop."""

from collections.abc import Sequence
import random
from typing import Any

import structlog
from twisted.internet import task

from cranberrymux.decisions.presence import announcement as announcement_module
from cranberrymux.decisions.presence import presence as presence_module
from cranberrymux.decisions.routes import route_table
from cranberrymux.gateway import announcement_filter
from cranberrymux.gateway import backend_signals
from cranberrymux.gateway import boot_clock
from cranberrymux.gateway import control_connections
from cranberrymux.gateway import control_updates
from cranberrymux.gateway import entry as entry_module
from cranberrymux.gateway import exit as exit_module
from cranberrymux.gateway import idle_wait
from cranberrymux.gateway import metrics_port
from cranberrymux.gateway import own_endpoint
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import ports as ports_module
from cranberrymux.gateway import routes_holder
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.gateway.explanation import explainer
from cranberrymux.node import clock as clock_module
from cranberrymux.node import directory_task
from cranberrymux.node.http import call_handler

CHECK_INTERVAL_S = 0.1
SWEEP_INTERVAL_S = 1.0
# Time after SIGTERM in which new requests are still accepted: clients learn of
# the stop from two readiness checks, which they send once a second.
MINIMUM_STOP_S = 2.5
FLUSH_DELAY_S = 0.1
_Change = presence_module.PresenceChange


class Gateway:
    """One node: its ports, its backend server and its directory connection."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        system_clock: clock_module.Clock | None = None,
        generator: random.Random | None = None,
    ) -> None:
        """Builds the components; `start` opens the ports.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
            system_clock: Monotonic and wall clock; those of the instance by
                default.
            generator: Source of randomness; seeded by the operating system by
                default.
        """
        self._settings = settings
        self._reactor = reactor
        self._events = structlog.get_logger()
        self._routes = routes_holder.RoutesHolder(reactor, self._routes_applied)
        self._had_routes = False
        self._control_connections = control_connections.ControlConnections(
            settings, reactor
        )
        self._parts = parts_module.GatewayParts(
            settings,
            reactor,
            self._routes,
            generator or random.Random(),
            system_clock or boot_clock.BootClock(),
            self._control_connections.get_clients,
        )
        self._clock = self._parts.clock
        self._updates = control_updates.ControlUpdates(
            self._parts, self._routes, self._control_connections, self._drain
        )
        self._presence = presence_module.Presence(settings.backend_lifetime_s)
        self._exit = exit_module.Exit(self._parts, self._presence, self.leave)
        self._filter = announcement_filter.AnnouncementFilter(
            settings,
            reactor,
            self._clock,
            self._backend_found,
            self._backend_verified,
            self.leave,
        )
        self._own_endpoint = own_endpoint.OwnEndpoint(
            settings, self._clock.now_unix_ms()
        )
        self._directory = directory_task.DirectoryTask(
            settings,
            self._control_connections.make_clients(self._clock.now_s()),
            self._own_endpoint,
            self._clock,
            self._updates,
            reactor,
        )
        self._control_connections.set_directory_task(self._directory)
        self._checking = task.LoopingCall(self._check)
        self._checking.clock = reactor
        self._sweeping = task.LoopingCall(self._sweep)
        self._sweeping.clock = reactor
        self._ports = ports_module.Ports(reactor, self._log_shed)
        self._is_stopping = False

    @property
    def updates(self) -> control_updates.ControlUpdates:
        """Takes what the control instances tell."""
        return self._updates

    @property
    def is_ready(self) -> bool:
        """True if clients may send requests to this node."""
        return self._routes.table is not None and not self._is_stopping

    def start(self) -> None:
        """Opens the ports for requests and starts the heartbeats.

        Raises:
            CannotListenError: A port is in use.
        """
        settings = self._settings
        entry = entry_module.Entry(self._parts)
        self._ports.open_for_clients(
            settings.entry_address, entry, entry.may_run_ahead
        )
        self._ports.open(settings.hop_address, self._exit)
        if settings.metrics_port:
            self._ports.open(
                f"{settings.ip}:{settings.metrics_port}",
                metrics_port.MetricsPort(
                    self._parts.metrics, explainer.Explainer(self._parts)
                ),
            )
        self._directory.start()
        self._parts.quotas.start(lambda: self._routes.version)
        self._checking.start(CHECK_INTERVAL_S, now=False)
        self._sweeping.start(SWEEP_INTERVAL_S, now=False)

    def listen(self, address: str, handler: call_handler.CallHandler) -> None:
        """Opens a port in addition to those that `start` opens.

        Args:
            address: `ip:port` to listen on.
            handler: Answers the calls on that port.

        Raises:
            CannotListenError: The port is in use.
        """
        self._ports.open(address, handler)

    def announce(
        self, received: announcement_module.Announcement
    ) -> presence_module.PresenceChange:
        """Applies an announcement of the backend server unless it is stale.

        One of another backend server changes nothing, nor does one that is
        held back; see `AnnouncementFilter`.
        """
        withheld = self._filter.examine(received)
        if withheld is not None:
            return withheld
        previous = self._presence.current
        change = self._presence.announce(received, self._clock.now_s())
        if change is not presence_module.PresenceChange.STALE:
            self._exit.announcement_received(received, previous)
        self._handle_change(change, received.backend_id)
        return change

    def leave(self, backend_id: str) -> presence_module.PresenceChange:
        """Applies the departure of a backend server."""
        change = self._presence.leave(backend_id, self._clock.now_unix_ms())
        self._handle_change(change, backend_id)
        return change

    def add_control_instances(self, addresses: Sequence[str]) -> None:
        """Connects to control instances that the reloaded settings name.

        Args:
            addresses: `ip:port` of each control instance.
        """
        self._control_connections.add_addresses(addresses, self._clock.now_s())

    def note_settings(self, digest: str, since_unix_ms: int) -> None:
        """Shows in the metrics which version of the settings file is known."""
        self._parts.metrics.show_settings(digest, since_unix_ms)

    def stop(self) -> None:
        """Starts the stop; the reactor ends once no request is in flight.

        Requests that outlast the `stop_s` of the settings are answered as if
        their deadlines had passed.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        self._parts.stop_admission.begin(
            self._clock.now_s(), self._settings.stop_s
        )
        self._events.info("node-stopping", in_flight=self._exit.in_flight)
        if self._own_endpoint.drain():
            self._directory.send_heartbeats()
        self._exit.stop()
        self._ports.drain()
        idle_wait.IdleWait(
            self._reactor, self._clock, self._count_in_flight, self._end_stop
        ).start(MINIMUM_STOP_S, self._settings.stop_s)

    def _routes_applied(self, table: route_table.RouteTable) -> None:
        self._ports.set_limits(table.document.limits)
        self._filter.use_document(table.document)
        if self._had_routes:
            return
        self._had_routes = True
        self._directory.send_heartbeats()
        if self._presence.current is None:
            self._filter.check_health()

    def _drain(self) -> None:
        if self._own_endpoint.drain():
            self._directory.send_heartbeats()

    def _backend_found(
        self,
        found: announcement_module.Announcement,
        signals: backend_signals.BackendSignals,
    ) -> None:
        if self._presence.current is None and not self._is_stopping:
            self.announce(found)
            self._exit.limit.note_health_check(signals)

    def _backend_verified(
        self, received: announcement_module.Announcement
    ) -> None:
        if not self._is_stopping:
            self.announce(received)

    def _handle_change(self, change: _Change, backend_id: str) -> None:
        if change in (_Change.NONE, _Change.STALE):
            return
        self._events.info(
            "backend-changed", change=change.value, backend_id=backend_id
        )
        self._apply_change()

    def _apply_change(self) -> None:
        self._exit.backend_changed()
        is_changed = self._own_endpoint.update(
            self._presence, self._clock.now_s()
        )
        if is_changed and not self._is_stopping:
            self._directory.send_heartbeats()

    def _log_shed(self, held_bytes: int) -> None:
        self._events.warning("connection-shed", held_bytes=held_bytes)

    def _sweep(self) -> None:
        self._exit.update_metrics()
        self._parts.show_zone_shares()
        self._parts.quotas.update_metrics()
        self._updates.update_metrics()
        self._ports.sweep(self._clock.now_s())

    def _check(self) -> None:
        now_s = self._clock.now_s()
        self._filter.retry()
        self._control_connections.remove_unreachable(now_s)
        self._updates.check_confirmation()
        if self._routes.table is None:
            # Without a configuration no request can be served, so heartbeats
            # are sent at this shorter interval.
            self._directory.send_heartbeats()
        record = self._own_endpoint.record
        is_serving = self._presence.is_serving(now_s)
        if record is not None and not self._is_stopping:
            was_serving = record.state.name == "SERVING"
            if was_serving != is_serving:
                self._apply_change()

    def _count_in_flight(self) -> int:
        return self._exit.in_flight + self._parts.open_entry_calls

    def _end_stop(self) -> None:
        """Answers the requests that are still open, and closes."""
        try:
            self._parts.deadlines.run_all()
        finally:
            self._close()

    def _close(self) -> None:
        self._parts.quarantine.stop()
        self._parts.quotas.stop()
        self._ports.close()
        self._directory.stop()
        # Leaves time for the last answers to be written to their clients.
        self._reactor.callLater(FLUSH_DELAY_S, self._reactor.stop)
