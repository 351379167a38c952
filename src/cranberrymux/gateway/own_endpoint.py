"""The directory record of the backend server beside this node."""

from cranberrymux.decisions.presence import presence as presence_module
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import socket_address

_State = endpoint_state.EndpointState


class OwnEndpoint:
    """Keeps the endpoint record that heartbeats carry to the directory.

    Each change of the record increments its sequence.
    """

    def __init__(
        self, settings: gateway_settings.GatewaySettings, incarnation: int
    ) -> None:
        """Starts without a record.

        Args:
            settings: The gateway's settings.
            incarnation: Start time of the process in Unix milliseconds.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._record: endpoint_record.EndpointRecord | None = None

    @property
    def incarnation(self) -> int:
        """Start time of the process in Unix milliseconds."""
        return self._incarnation

    @property
    def record(self) -> endpoint_record.EndpointRecord | None:
        """The newest record; None before the first announcement."""
        return self._record

    def update(self, presence: presence_module.Presence, now_s: float) -> bool:
        """Builds the record from the latest announcement.

        The endpoint serves while the backend server accepts requests and its
        announcement is still valid, and drains otherwise.

        Args:
            presence: Latest announcement of the backend server.
            now_s: Present time in monotonic seconds.

        Returns:
            True if the record changed; False before the first announcement.
        """
        current = presence.current
        if current is None:
            return False
        hop_address = socket_address.parse(self._settings.hop_address)
        assert hop_address is not None
        is_serving = presence.is_serving(now_s)
        previous = self._record
        sequence = previous.sequence if previous else 0
        record = endpoint_record.EndpointRecord(
            current.service,
            self._settings.node_id,
            self._incarnation,
            sequence,
            hop_address.host,
            hop_address.port,
            self._settings.region,
            self._settings.zone,
            {},
            current.slots,
            _State.SERVING if is_serving else _State.DRAINING,
            current.backend_id,
            current.started_ms,
        )
        if record == previous:
            return False
        self._record = record._replace(sequence=sequence + 1)
        return True

    def drain(self) -> bool:
        """Marks the endpoint as draining; True if the record changed."""
        if self._record is None or self._record.state is _State.DRAINING:
            return False
        self._record = self._record._replace(
            state=_State.DRAINING, sequence=self._record.sequence + 1
        )
        return True
