"""Open connections that carry no request at present."""

import math

from cranberrymux.models import socket_address
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import request_identity

# Idle connections of one pool; beyond that, those not used for longest close.
MAXIMUM_IDLE = 256
# The connections of a burst of requests close once it is over for so long.
IDLE_LIFETIME_S = 15.0


class IdleConnections:
    """Holds idle connections by address and closes those of no use.

    The connection that was used last is used first, so that those beyond what
    an address needs stay idle.
    """

    def __init__(self) -> None:
        """Starts without connections."""
        self._by_address: dict[
            socket_address.SocketAddress,
            list[client_connection.ClientConnection],
        ] = {}
        # Address and time of each, by how long they have been idle.
        self._since: dict[
            client_connection.ClientConnection,
            tuple[socket_address.SocketAddress, float],
        ] = {}
        # None of the connections is idle for too long until then.
        self._unexpired_until_s = -math.inf

    @property
    def count(self) -> int:
        """Number of idle connections."""
        return len(self._since)

    def add(
        self,
        address: socket_address.SocketAddress,
        connection: client_connection.ClientConnection,
        now_s: float,
    ) -> None:
        """Adds a connection; closes others beyond the limits."""
        connection.note_idle(now_s)
        self._by_address.setdefault(address, []).append(connection)
        self._since[connection] = (address, now_s)
        if (
            now_s <= self._unexpired_until_s
            and len(self._since) <= MAXIMUM_IDLE
        ):
            return
        while self._since:
            oldest = next(iter(self._since))
            unexpired_until_s = self._since[oldest][1] + IDLE_LIFETIME_S
            if now_s <= unexpired_until_s and len(self._since) <= MAXIMUM_IDLE:
                self._unexpired_until_s = unexpired_until_s
                return
            self.remove(oldest)
            oldest.close()

    def take(
        self,
        address: socket_address.SocketAddress,
        identity: request_identity.RequestIdentity | None,
        now_s: float,
    ) -> client_connection.ClientConnection | None:
        """Removes and returns the usable connection that was used last.

        If the request was sent on all of them before, one is closed, as a new
        one will be opened.

        Args:
            address: Address of the receiver.
            identity: Id of the request to send; None if it has none.
            now_s: Monotonic seconds.
        """
        connections = self._by_address.get(address, [])
        for index in range(len(connections) - 1, -1, -1):
            connection = connections[index]
            is_usable = connection.is_usable
            if is_usable and connection.has_sent(identity):
                continue
            del self._since[connection]
            del connections[index]
            if not connections:
                del self._by_address[address]
            if not is_usable:
                continue
            if now_s >= connection.reusable_until_s:
                connection.close()
                continue
            return connection
        if connections:
            connection = connections[-1]
            self.remove(connection)
            connection.close()
        return None

    def remove(self, connection: client_connection.ClientConnection) -> None:
        """Drops a connection; ignores one that is not idle."""
        known = self._since.pop(connection, None)
        if known is None:
            return
        address, _ = known
        connections = self._by_address[address]
        connections.remove(connection)
        if not connections:
            del self._by_address[address]

    def close_all(self) -> None:
        """Closes every connection."""
        connections = list(self._since)
        self._since.clear()
        self._by_address.clear()
        for connection in connections:
            connection.close()
