"""The directory record of the backend server beside this node."""

from cranberrymux.decisions.presence import presence as presence_module
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import socket_address
from cranberrymux.node import announced_endpoint

_State = endpoint_state.EndpointState


class OwnEndpoint(announced_endpoint.AnnouncedEndpoint):
    """Makes the record that heartbeats carry to the directory."""

    def __init__(
        self, settings: gateway_settings.GatewaySettings, incarnation: int
    ) -> None:
        """Starts without a record.

        Args:
            settings: The gateway's settings.
            incarnation: Start time of the process in Unix milliseconds.
        """
        super().__init__(incarnation)
        self._settings = settings

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
        record = endpoint_record.EndpointRecord(
            current.service,
            self._settings.node_id,
            self.incarnation,
            0,
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
        return self.replace(record)

    def drain(self) -> bool:
        """Marks the endpoint as draining; True if the record changed."""
        return self.set_state(_State.DRAINING)
