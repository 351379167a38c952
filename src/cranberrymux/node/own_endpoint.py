"""The endpoint record of this node's backend server."""

from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.node import announced_endpoint
from cranberrymux.node import backend_server
from cranberrymux.node import settings as node_settings


class OwnEndpoint(announced_endpoint.AnnouncedEndpoint):
    """Makes the record from announcements of the backend server."""

    def __init__(
        self, settings: node_settings.NodeSettings, incarnation: int
    ) -> None:
        """Starts without a record.

        Args:
            settings: Settings of the node.
            incarnation: Start time of the process in Unix milliseconds.
        """
        super().__init__(incarnation)
        self._settings = settings

    def announce(
        self,
        backend: backend_server.BackendServer,
        state: endpoint_state.EndpointState,
    ) -> bool:
        """Updates the record from an announcement.

        Args:
            backend: The backend server as announced.
            state: State of the endpoint from now on.

        Returns:
            True if the record has changed.
        """
        record = endpoint_record.EndpointRecord(
            backend.service,
            self._settings.node_id,
            self.incarnation,
            0,
            self._settings.address,
            self._settings.ingress_port,
            self._settings.region,
            self._settings.zone,
            dict(backend.labels),
            backend.slots,
            state,
        )
        return self.replace(record)
