"""Sends heartbeats to the control instances and applies their answers."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import Protocol

import structlog
from twisted.internet import defer
from twisted.internet import task

from cranberrymux.models import endpoint_record
from cranberrymux.node import clock as clock_module
from cranberrymux.telemetry import event
from cranberrymux.wire import control_client
from cranberrymux.wire import endpoint_conversion
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes

_log = structlog.get_logger()


class DirectoryListener(Protocol):
    """Receives the contents of the answers to heartbeats."""

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""

    def get_subscriptions(self) -> Sequence[str]:
        """Returns the names of the services whose endpoints are needed."""

    def endpoints_changed(
        self, records: Sequence[endpoint_record.EndpointRecord]
    ) -> None:
        """Takes the records of endpoints that are new or have changed."""

    def suspects_changed(self, rows: Sequence[Any]) -> None:
        """Takes rows of the ledger of suspects that have changed."""

    def configuration_changed(self, version: int, document: str) -> None:
        """Takes a configuration; suspects known with it were taken before.

        Args:
            version: Version of the configuration.
            document: Its YAML document.
        """

    def configuration_confirmed(
        self, version: int, asked_at_s: float, until_s: float
    ) -> None:
        """Takes note that a control instance confirmed a version as current.

        Args:
            version: The version confirmed.
            asked_at_s: Monotonic time in seconds at which the heartbeat was
                sent.
            until_s: Monotonic time in seconds at which the confirmation
                expires.
        """

    def drain_requested(self) -> None:
        """Takes note that an operator requested a drain of this process."""

    def quota_owner_received(self, address: str) -> None:
        """Takes the `ip:port` of the instance that hands out quota tokens."""

    def control_instances_received(self, addresses: Sequence[str]) -> None:
        """Takes the `ip:port` of each control instance of the cluster."""


class DirectorySettings(Protocol):
    """The settings that a `DirectoryTask` uses."""

    @property
    def node_id(self) -> str:
        """Name of the node, unique in the cluster."""

    @property
    def heartbeat_ms(self) -> int:
        """Milliseconds between two heartbeats to one control instance."""


class AnnouncedEndpoint(Protocol):
    """The endpoint whose record the node's heartbeats announce."""

    @property
    def incarnation(self) -> int:
        """Start time of the process in Unix milliseconds."""

    @property
    def record(self) -> endpoint_record.EndpointRecord | None:
        """The current record; None before the first announcement."""


class _Session:
    """State of the exchange of heartbeats with one control instance.

    Attributes:
        client: Connection to the control instance.
        epoch: Directory epoch of its last answer; empty before the first.
        revision: Directory revision of its last answer; 0 requests the whole
            directory.
        suspect_revision: Revision of the suspects in its last answer; 0
            requests all of them.
        subscriptions: Services named in the last heartbeat.
        kept_record: Record of the node's endpoint that the instance keeps.
        is_waiting: True while a heartbeat has no answer.
        is_due_again: True if a heartbeat must follow the one under way.
    """

    def __init__(self, client: control_client.ControlClient) -> None:
        self.client = client
        self.epoch = ""
        self.revision = 0
        self.suspect_revision = 0
        self.subscriptions: tuple[str, ...] = ()
        self.kept_record: endpoint_record.EndpointRecord | None = None
        self.is_waiting = False
        self.is_due_again = False


class DirectoryTask:
    """Sends heartbeats to all control instances, one after another.

    Each control instance gets one every `heartbeat_ms`; the heartbeats to
    several are spread evenly over that time.
    """

    def __init__(
        self,
        settings: DirectorySettings,
        clients: Sequence[control_client.ControlClient],
        endpoint: AnnouncedEndpoint,
        system_clock: clock_module.Clock,
        listener: DirectoryListener,
        reactor: Any = None,
    ) -> None:
        """Creates the task; `start` begins to send.

        Args:
            settings: Settings of the node.
            clients: Connections to the control instances known at the start.
            endpoint: The endpoint that the heartbeats announce.
            system_clock: Monotonic and Unix time.
            listener: Receives the contents of the answers.
            reactor: The reactor to use; the global one by default.
        """
        self._settings = settings
        self._endpoint = endpoint
        self._clock = system_clock
        self._listener = listener
        self._sessions = [_Session(client) for client in clients]
        self._last_index = 0
        self._loop = task.LoopingCall(self._send_to_next)
        if reactor is not None:
            self._loop.clock = reactor

    def start(self) -> None:
        """Connects to the control instances and begins to send heartbeats."""
        for session in self._sessions:
            session.client.start()
        self._loop.start(self._send_interval_s, now=True)

    def add(self, client: control_client.ControlClient) -> None:
        """Connects to a further control instance and sends heartbeats to it."""
        self._sessions.append(_Session(client))
        client.start()
        if self._loop.running:
            self._loop.interval = self._send_interval_s

    def remove(self, client: control_client.ControlClient) -> None:
        """Ends the heartbeats to a control instance and its connection."""
        client.stop()
        self._sessions = [
            session
            for session in self._sessions
            if session.client is not client
        ]
        if self._loop.running:
            self._loop.interval = self._send_interval_s

    @property
    def _send_interval_s(self) -> float:
        heartbeat_s = self._settings.heartbeat_ms / 1000
        return heartbeat_s / max(len(self._sessions), 1)

    def stop(self) -> None:
        """Ends all heartbeats and connections."""
        if self._loop.running:
            self._loop.stop()
        for session in self._sessions:
            session.client.stop()

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to every control instance now.

        Where one is under way, the next follows as soon as it has ended.
        """
        for session in self._sessions:
            session.is_due_again = session.is_waiting
        self._send_to_idle()

    def _send_to_next(self) -> None:
        """Sends a heartbeat to the next connected control instance in turn.

        Because of the turns, a new configuration is fetched from one instance
        rather than from all at once.
        """
        for _ in self._sessions:
            self._last_index = (self._last_index + 1) % len(self._sessions)
            session = self._sessions[self._last_index]
            if session.is_waiting or not session.client.is_connected:
                continue
            defer.ensureDeferred(self._send_heartbeat(session))
            return

    def _send_to_idle(self) -> None:
        for session in self._sessions:
            if not session.is_waiting:
                defer.ensureDeferred(self._send_heartbeat(session))

    async def _send_heartbeat(self, session: _Session) -> None:
        session.is_waiting = True
        try:
            sent_s = self._clock.now_s()
            subscriptions = tuple(self._listener.get_subscriptions())
            if subscriptions != session.subscriptions:
                session.revision = 0
                session.subscriptions = subscriptions
            record = self._endpoint.record
            heartbeat = self._make_heartbeat(session, record)
            session.kept_record = None  # Unless the answer says otherwise.
            answer = await session.client.heartbeat(heartbeat)
            if not isinstance(answer, wire_error.WireError):
                if answer.keeps_endpoints:
                    session.kept_record = record
                self._apply_answer(session, answer, sent_s)
        finally:
            session.is_waiting = False
        if session.is_due_again:
            session.is_due_again = False
            await self._send_heartbeat(session)

    def _make_heartbeat(
        self, session: _Session, record: endpoint_record.EndpointRecord | None
    ) -> Any:
        is_kept = record is not None and record == session.kept_record
        named = () if record is None or is_kept else (record,)
        return ttypes.Heartbeat(
            node_id=self._settings.node_id,
            incarnation=self._endpoint.incarnation,
            endpoints=list(map(endpoint_conversion.encode_endpoint, named)),
            services=list(session.subscriptions),
            directory_revision=session.revision,
            configuration_version=self._listener.configuration_version,
            directory_epoch=session.epoch,
            suspect_revision=session.suspect_revision,
            has_same_endpoints=is_kept or None,
        )

    def _apply_answer(
        self, session: _Session, answer: Any, sent_s: float
    ) -> None:
        records = list(_decode_endpoints(answer.endpoints))
        if records:
            self._listener.endpoints_changed(records)
        if answer.suspects:
            self._listener.suspects_changed(answer.suspects)
        session.suspect_revision = answer.suspect_revision or 0
        if answer.configuration is not None:
            self._listener.configuration_changed(
                answer.configuration_version, answer.configuration
            )
        if answer.vouched_ms > 0:
            self._listener.configuration_confirmed(
                answer.configuration_version,
                sent_s,
                sent_s + answer.vouched_ms / 1000,
            )
        if answer.quota_owner:
            self._listener.quota_owner_received(answer.quota_owner)
        if answer.drain:
            self._listener.drain_requested()
        if answer.control_instances:
            self._listener.control_instances_received(answer.control_instances)
        session.epoch = answer.directory_epoch
        session.revision = answer.directory_revision


def _decode_endpoints(
    messages: Iterable[Any],
) -> Iterator[endpoint_record.EndpointRecord]:
    """Decodes records; skips and logs those that cannot be read."""
    for message in messages:
        try:
            yield endpoint_conversion.decode_endpoint(message)
        except ValueError as error:
            _log.warning(event.Event.BAD_FRAME, detail=f"endpoint: {error}")
