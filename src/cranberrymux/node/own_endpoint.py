"""The endpoint record of this node's backend server."""

from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.node import backend_server
from cranberrymux.node import settings as node_settings


class OwnEndpoint:
    """Holds the record and raises its sequence number on each change."""

    def __init__(
        self, settings: node_settings.NodeSettings, incarnation: int
    ) -> None:
        """Starts without a record.

        Args:
            settings: Settings of the node.
            incarnation: Start time of the process in Unix milliseconds.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._sequence = 0
        self._record: endpoint_record.EndpointRecord | None = None

    @property
    def incarnation(self) -> int:
        """Start time of the process in Unix milliseconds."""
        return self._incarnation

    @property
    def record(self) -> endpoint_record.EndpointRecord | None:
        """The current record; None before the first announcement."""
        return self._record

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
        record = self._make_record(backend, state)
        if self._record is not None and record == self._record:
            return False
        self._sequence += 1
        self._record = record._replace(sequence=self._sequence)
        return True

    def set_state(self, state: endpoint_state.EndpointState) -> bool:
        """Changes the state of the endpoint.

        Args:
            state: State from now on.

        Returns:
            True if there is a record and its state was another.
        """
        if self._record is None or self._record.state is state:
            return False
        self._sequence += 1
        self._record = self._record._replace(
            state=state, sequence=self._sequence
        )
        return True

    def _make_record(
        self,
        backend: backend_server.BackendServer,
        state: endpoint_state.EndpointState,
    ) -> endpoint_record.EndpointRecord:
        return endpoint_record.EndpointRecord(
            backend.service,
            self._settings.node_id,
            self._incarnation,
            self._sequence,
            self._settings.address,
            self._settings.ingress_port,
            self._settings.region,
            self._settings.zone,
            dict(backend.labels),
            backend.slots,
            state,
        )
