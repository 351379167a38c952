"""What this node tells the directory of its backend server."""

from cranberrymux.decisions.presence import presence as presence_module
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import socket_address

_State = endpoint_state.EndpointState


class Announcer:
    """The endpoint's record, with a sequence that grows on each change."""

    def __init__(
        self, settings: gateway_settings.GatewaySettings, incarnation: int
    ) -> None:
        """Starts without a backend server.

        Args:
            settings: Settings of the node.
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
        """Takes over what is believed now; True if the record changed."""
        current = presence.current
        if current is None:
            return False
        hop_address = socket_address.parse(self._settings.hop_address)
        assert hop_address is not None
        is_serving = presence.is_serving(now_s)
        before = self._record
        sequence = before.sequence if before else 0
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
        )
        if record == before:
            return False
        self._record = record._replace(sequence=sequence + 1)
        return True

    def stop(self) -> bool:
        """Takes the endpoint out; True if the record changed."""
        if self._record is None or self._record.state is _State.DRAINING:
            return False
        self._record = self._record._replace(
            state=_State.DRAINING, sequence=self._record.sequence + 1
        )
        return True
