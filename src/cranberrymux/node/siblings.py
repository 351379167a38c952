"""The other endpoints of the service of the backend server here."""

from collections.abc import Sequence

from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.node import peer_request
from cranberrymux.node.http import connection_pool


class Siblings:
    """Knows the siblings and sends them short messages."""

    def __init__(
        self, own_id: str, pool: connection_pool.ConnectionPool
    ) -> None:
        """Starts without siblings."""
        self._own_id = own_id
        self._pool = pool
        self._records: dict[str, endpoint_record.EndpointRecord] = {}

    def update(
        self, records: Sequence[endpoint_record.EndpointRecord]
    ) -> list[endpoint_record.EndpointRecord]:
        """Takes news of endpoints of the own service.

        Returns:
            The siblings whose process is new here.
        """
        started = []
        for record in records:
            if record.endpoint_id == self._own_id:
                continue
            if record.state is endpoint_state.EndpointState.GONE:
                self._records.pop(record.endpoint_id, None)
                continue
            known = self._records.get(record.endpoint_id)
            if known is None or known.incarnation < record.incarnation:
                started.append(record)
            self._records[record.endpoint_id] = record
        return started

    def tell(self, message: peer_request.PeerMessage) -> None:
        """Sends a message to every sibling; nobody waits for an answer."""
        for record in self._records.values():
            self.tell_one(record, message)

    def tell_one(
        self,
        sibling: endpoint_record.EndpointRecord,
        message: peer_request.PeerMessage,
    ) -> None:
        """Sends a message to one sibling; nobody waits for an answer."""
        request = peer_request.PeerRequest(message, lambda body: None)
        request.start(
            self._pool,
            connection_pool.Address(sibling.address, sibling.port),
        )
