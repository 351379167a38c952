"""The other endpoints of the service of this node's backend server."""

from collections.abc import Sequence

from cranberrymux.decisions.directory import neighbors
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import socket_address
from cranberrymux.node import peer_request
from cranberrymux.node.http import connection_pool


class Siblings:
    """Holds the records of the siblings and sends messages to some of them.

    Those are the neighbors, who pass on what is new to them.
    """

    def __init__(
        self, own_endpoint_id: str, pool: connection_pool.ConnectionPool
    ) -> None:
        """Starts without siblings.

        Args:
            own_endpoint_id: Id of this node's endpoint, which is no sibling.
            pool: Connections to other nodes.
        """
        self._own_endpoint_id = own_endpoint_id
        self._pool = pool
        self._records: dict[str, endpoint_record.EndpointRecord] = {}
        self._neighbor_ids: frozenset[str] = frozenset()

    def update(
        self, records: Sequence[endpoint_record.EndpointRecord]
    ) -> list[endpoint_record.EndpointRecord]:
        """Applies changed records of the own service's endpoints.

        Args:
            records: The changed records; one in state `GONE` removes its
                sibling.

        Returns:
            The records of neighbors that are new or have restarted.
        """
        started_ids = set()
        for record in records:
            if record.endpoint_id == self._own_endpoint_id:
                continue
            if record.state is endpoint_state.EndpointState.GONE:
                self._records.pop(record.endpoint_id, None)
                continue
            known = self._records.get(record.endpoint_id)
            if known is None or known.incarnation < record.incarnation:
                started_ids.add(record.endpoint_id)
            self._records[record.endpoint_id] = record
        before = self._neighbor_ids
        self._neighbor_ids = neighbors.choose_neighbors(
            self._own_endpoint_id, self._records
        )
        # A sibling that becomes a neighbor may have missed what others know.
        due_ids = (started_ids & self._neighbor_ids) | (
            self._neighbor_ids - before
        )
        return [self._records[endpoint_id] for endpoint_id in sorted(due_ids)]

    def send_to_neighbors(self, message: peer_request.PeerMessage) -> None:
        """Sends a message to every neighbor and ignores the answers."""
        for endpoint_id in sorted(self._neighbor_ids):
            self.send(self._records[endpoint_id], message)

    def send(
        self,
        sibling: endpoint_record.EndpointRecord,
        message: peer_request.PeerMessage,
    ) -> None:
        """Sends a message to one sibling and ignores the answer."""
        request = peer_request.PeerRequest(message, lambda body: None)
        request.start(
            self._pool,
            socket_address.SocketAddress(sibling.address, sibling.port),
        )
