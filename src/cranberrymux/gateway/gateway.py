"""Joins the parts of a gateway."""

from collections.abc import Sequence
import random
from typing import Any

import structlog
from twisted.internet import task

from cranberrymux.decisions.presence import announcement as announcement_module
from cranberrymux.decisions.presence import presence as presence_module
from cranberrymux.gateway import announcer as announcer_module
from cranberrymux.gateway import boot_clock
from cranberrymux.gateway import control_contacts
from cranberrymux.gateway import entry as entry_module
from cranberrymux.gateway import exit as exit_module
from cranberrymux.gateway import idle_wait
from cranberrymux.gateway import inquiry as inquiry_module
from cranberrymux.gateway import meters_port
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import ports as ports_module
from cranberrymux.gateway import routes_holder
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import endpoint_record
from cranberrymux.node import clock as clock_module
from cranberrymux.node import directory_task
from cranberrymux.node.http import call_handler

CHECK_S = 0.1
SWEEP_S = 1.0
# New requests are taken for so long after SIGTERM, since callers find out by
# asking twice, once a second.
LINGER_S = 2.5
FLUSH_S = 0.1
_Change = presence_module.PresenceChange


class Gateway:
    """One node: its ports, its backend server, its directory."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        system_clock: clock_module.Clock | None = None,
        generator: random.Random | None = None,
    ) -> None:
        """Builds the parts; `start` opens the ports.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
            system_clock: Clocks; those of the instance by default.
            generator: Source of randomness; seeded by chance by default.
        """
        self._settings = settings
        self._reactor = reactor
        self._events = structlog.get_logger()
        self._routes = routes_holder.RoutesHolder()
        self._parts = parts_module.GatewayParts(
            settings,
            reactor,
            self._routes,
            generator or random.Random(),
            system_clock or boot_clock.BootClock(),
        )
        self._clock = self._parts.clock
        self._presence = presence_module.Presence(settings.backend_lifetime_s)
        self._exit = exit_module.Exit(self._parts, self._presence)
        self._inquiry = inquiry_module.Inquiry(
            settings, reactor, self._backend_found
        )
        self._announcer = announcer_module.Announcer(
            settings, self._clock.now_unix_ms()
        )
        self._contacts = control_contacts.ControlContacts(settings, reactor)
        self._directory = directory_task.DirectoryTask(
            settings,
            self._contacts.make_first(self._clock.now_s()),
            self._announcer,
            self._clock,
            self,
            reactor,
        )
        self._contacts.follow(self._directory)
        self._checking = task.LoopingCall(self._check)
        self._checking.clock = reactor
        self._sweeping = task.LoopingCall(self._sweep)
        self._sweeping.clock = reactor
        self._ports = ports_module.Ports(reactor)
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """True if clients may send requests here."""
        return self._routes.table is not None and not self._is_stopping

    def start(self) -> None:
        """Opens the ports for requests and joins the directory.

        Raises:
            CannotListenError: A port is taken.
        """
        settings = self._settings
        entry = entry_module.Entry(self._parts)
        self._ports.open_for_clients(settings.entry_address, entry)
        self._ports.open(settings.hop_address, self._exit)
        if settings.metrics_port:
            self._ports.open(
                f"{settings.ip}:{settings.metrics_port}",
                meters_port.MetersPort(self._parts.meters),
            )
        self._directory.start()
        self._checking.start(CHECK_S, now=False)
        self._sweeping.start(SWEEP_S, now=False)

    def listen(self, address: str, handler: call_handler.CallHandler) -> None:
        """Opens one more port.

        Raises:
            CannotListenError: The port is taken.
        """
        self._ports.open(address, handler)

    def announce(
        self, said: announcement_module.Announcement
    ) -> presence_module.PresenceChange:
        """Takes an announcement of the backend server."""
        change = self._presence.announce(said, self._clock.now_s())
        if change is not presence_module.PresenceChange.STALE:
            self._exit.announcement_received(said)
        self._take_change(change, said.backend_id)
        return change

    def leave(self, backend_id: str) -> presence_module.PresenceChange:
        """Takes note that the backend server goes."""
        change = self._presence.leave(backend_id, self._clock.now_unix_ms())
        self._take_change(change, backend_id)
        return change

    def follow_control_instances(self, addresses: Sequence[str]) -> None:
        """Takes `ip:port` of control instances from changed settings."""
        self._contacts.learn(addresses, self._clock.now_s())

    def stop(self) -> None:
        """Ends in order: no cut request, as far as time allows."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._parts.begin_stop(self._clock.now_s(), self._settings.stop_s)
        self._events.info("node-stopping", in_flight=self._exit.in_flight)
        if self._announcer.stop():
            self._directory.beat()
        self._exit.stop()
        self._ports.leave()
        idle_wait.IdleWait(
            self._reactor, self._clock, self._count_in_flight, self._close
        ).start(LINGER_S, self._settings.stop_s)

    # What the directory tells.

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""
        return self._routes.version

    def get_subscriptions(self) -> Sequence[str]:
        """Returns the services whose endpoints are wanted: all of them."""
        table = self._routes.table
        if table is None:
            return ()
        return sorted(one.name for one in table.document.services)

    def endpoints_changed(
        self, records: Sequence[endpoint_record.EndpointRecord]
    ) -> None:
        """Takes news of endpoints."""
        self._parts.endpoints.update(records)
        self._parts.repeats.set_node_count(self._parts.endpoints.count)

    def configuration_changed(self, version: int, document: str) -> None:
        """Takes a configuration of a higher version."""
        had_none = self._routes.table is None
        self._routes.take(version, document)
        table = self._routes.table
        if table is None:
            return
        self._ports.set_limits(table.document.limits)
        if had_none:
            self._directory.beat()
            if self._presence.current is None:
                self._inquiry.start(table.document)

    def configuration_vouched(self, version: int, until_s: float) -> None:
        """Ignores it: nothing here depends on the age of a version."""

    def drain_requested(self) -> None:
        """Stops taking requests for the backend server."""
        if self._announcer.stop():
            self._directory.beat()

    def control_instances_told(self, addresses: Sequence[str]) -> None:
        """Follows the control instances that there are."""
        self._contacts.learn(addresses, self._clock.now_s())

    def _backend_found(self, found: announcement_module.Announcement) -> None:
        if self._presence.current is None and not self._is_stopping:
            self.announce(found)

    def _take_change(self, change: _Change, backend_id: str) -> None:
        if change in (_Change.NONE, _Change.STALE):
            return
        self._events.info(
            "backend-changed", change=change.value, backend_id=backend_id
        )
        self._tell_change()

    def _tell_change(self) -> None:
        self._exit.backend_changed()
        is_changed = self._announcer.update(self._presence, self._clock.now_s())
        if is_changed and not self._is_stopping:
            self._directory.beat()

    def _sweep(self) -> None:
        self._exit.update_meters()
        self._parts.meters.version.set(self._routes.version)
        self._ports.sweep(self._clock.now_s())

    def _check(self) -> None:
        now_s = self._clock.now_s()
        self._contacts.forget_lost(now_s)
        if self._routes.table is None:
            # Nobody is served before: do not wait for the next heartbeat.
            self._directory.beat()
        record = self._announcer.record
        is_serving = self._presence.is_serving(now_s)
        if record is not None and not self._is_stopping:
            was_serving = record.state.name == "SERVING"
            if was_serving != is_serving:
                self._tell_change()

    def _count_in_flight(self) -> int:
        return self._exit.in_flight + self._parts.open_entry_calls

    def _close(self) -> None:
        self._ports.close()
        self._directory.stop()
        # What was written last still has to reach its client.
        self._reactor.callLater(FLUSH_S, self._reactor.stop)
