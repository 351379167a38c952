"""Heartbeats to the control instances, and what their answers bring."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task

from cranberrymux.models import endpoint_record
from cranberrymux.node import clock as clock_module
from cranberrymux.wire import control_client
from cranberrymux.wire import convert
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes


class DirectoryListener(Protocol):
    """Whoever uses the directory and the configuration."""

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""

    def get_subscriptions(self) -> Sequence[str]:
        """Returns the services whose endpoints are wanted."""

    def endpoints_changed(
        self, records: Sequence[endpoint_record.EndpointRecord]
    ) -> None:
        """Takes news of endpoints."""

    def configuration_changed(self, version: int, document: str) -> None:
        """Takes a configuration of a higher version."""

    def configuration_vouched(self, version: int, until_s: float) -> None:
        """Takes note that a control instance vouches for a version."""

    def drain_requested(self) -> None:
        """Takes note that an operator asked for a drain."""

    def control_instances_told(self, addresses: Sequence[str]) -> None:
        """Takes `ip:port` of the control instances that there are."""


class DirectorySettings(Protocol):
    """What the task needs of a node's settings."""

    @property
    def node_id(self) -> str:
        """Name of the node, unique."""

    @property
    def heartbeat_ms(self) -> int:
        """Time between two heartbeats to one control instance."""


class AnnouncedEndpoint(Protocol):
    """The endpoint that the node vouches for."""

    @property
    def incarnation(self) -> int:
        """Start time of the process in Unix milliseconds."""

    @property
    def record(self) -> endpoint_record.EndpointRecord | None:
        """The newest record; None before the first announcement."""


class _Session:
    """What one control instance has told so far."""

    def __init__(self, client: control_client.ControlClient) -> None:
        self.client = client
        self.epoch = ""
        self.revision = 0
        self.subscriptions: tuple[str, ...] = ()
        self.is_waiting = False
        self.is_due_again = False


class DirectoryTask:
    """Sends a heartbeat to every control instance of the settings."""

    def __init__(
        self,
        settings: DirectorySettings,
        clients: Sequence[control_client.ControlClient],
        endpoint: AnnouncedEndpoint,
        system_clock: clock_module.Clock,
        listener: DirectoryListener,
        reactor: Any = None,
    ) -> None:
        """Keeps one session for each control instance.

        Args:
            settings: Settings of the node.
            clients: Connections to the control instances to begin with.
            endpoint: The endpoint that the node vouches for.
            system_clock: Clocks.
            listener: Takes what the answers bring.
            reactor: The reactor to use; the global one by default.
        """
        self._settings = settings
        self._endpoint = endpoint
        self._clock = system_clock
        self._listener = listener
        self._sessions = [_Session(client) for client in clients]
        self._turn = 0
        self._loop = task.LoopingCall(self._beat_next)
        if reactor is not None:
            self._loop.clock = reactor

    def start(self) -> None:
        """Connects and begins to send."""
        for session in self._sessions:
            session.client.start()
        self._loop.start(self._interval_s, now=True)

    def add(self, client: control_client.ControlClient) -> None:
        """Connects to one more control instance."""
        self._sessions.append(_Session(client))
        client.start()
        if self._loop.running:
            self._loop.interval = self._interval_s

    def remove(self, client: control_client.ControlClient) -> None:
        """Leaves a control instance."""
        client.stop()
        self._sessions = [
            one for one in self._sessions if one.client is not client
        ]
        if self._loop.running:
            self._loop.interval = self._interval_s

    @property
    def _interval_s(self) -> float:
        heartbeat_s = self._settings.heartbeat_ms / 1000
        return heartbeat_s / max(len(self._sessions), 1)

    def stop(self) -> None:
        """Ends the heartbeats and the connections."""
        if self._loop.running:
            self._loop.stop()
        for session in self._sessions:
            session.client.stop()

    def beat(self) -> None:
        """Sends a heartbeat now, or right after the one under way."""
        for session in self._sessions:
            session.is_due_again = session.is_waiting
        self._beat_where_idle()

    def _beat_next(self) -> None:
        """Takes turns, so that one instance brings a new configuration."""
        for _ in self._sessions:
            self._turn = (self._turn + 1) % len(self._sessions)
            session = self._sessions[self._turn]
            if session.is_waiting or not session.client.is_connected:
                continue
            defer.ensureDeferred(self._beat_one(session))
            return

    def _beat_where_idle(self) -> None:
        for session in self._sessions:
            if not session.is_waiting:
                defer.ensureDeferred(self._beat_one(session))

    async def _beat_one(self, session: _Session) -> None:
        session.is_waiting = True
        try:
            sent_s = self._clock.now_s()
            subscriptions = tuple(self._listener.get_subscriptions())
            if subscriptions != session.subscriptions:
                session.revision = 0
                session.subscriptions = subscriptions
            answer = await session.client.heartbeat(self._make(session))
            if not isinstance(answer, wire_error.WireError):
                self._take(session, answer, sent_s)
        finally:
            session.is_waiting = False
        if session.is_due_again:
            session.is_due_again = False
            await self._beat_one(session)

    def _make(self, session: _Session) -> Any:
        record = self._endpoint.record
        endpoints = [] if record is None else [convert.encode_endpoint(record)]
        return ttypes.Heartbeat(
            node_id=self._settings.node_id,
            incarnation=self._endpoint.incarnation,
            endpoints=endpoints,
            services=list(session.subscriptions),
            directory_revision=session.revision,
            configuration_version=self._listener.configuration_version,
            directory_epoch=session.epoch,
        )

    def _take(self, session: _Session, answer: Any, sent_s: float) -> None:
        session.epoch = answer.directory_epoch
        session.revision = answer.directory_revision
        records = [convert.decode_endpoint(one) for one in answer.endpoints]
        if records:
            self._listener.endpoints_changed(records)
        if answer.configuration is not None:
            self._listener.configuration_changed(
                answer.configuration_version, answer.configuration
            )
        if answer.vouched_ms > 0:
            self._listener.configuration_vouched(
                answer.configuration_version,
                sent_s + answer.vouched_ms / 1000,
            )
        if answer.drain:
            self._listener.drain_requested()
        if answer.control_instances:
            self._listener.control_instances_told(answer.control_instances)
