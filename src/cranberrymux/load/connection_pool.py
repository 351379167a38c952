"""A bounded pool of connections to one target."""

import collections
from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints
from twisted.python import failure

from cranberrymux.load import http_connection
from cranberrymux.models import socket_address

CONNECT_TIMEOUT_S = 3

ConnectionCallback = Callable[[http_connection.HttpConnection | None], None]


class ConnectionPool:
    """Reuses connections, the most recently released one first.

    Attributes:
        unsolicited: Number of connections that ended because data arrived
            while no request was in flight.
    """

    def __init__(
        self,
        reactor: Any,
        target: socket_address.SocketAddress,
        maximum_connections: int,
    ) -> None:
        """Creates an empty pool; connections are opened on demand.

        Args:
            reactor: TCP and timers.
            target: Address of the node or backend server.
            maximum_connections: Limit of connections open at once, 1 or more.
        """
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, target.host, target.port, timeout=CONNECT_TIMEOUT_S
        )
        self.unsolicited = 0
        self._maximum_connections = maximum_connections
        self._open_count = 0
        self._idle: list[http_connection.HttpConnection] = []
        self._waiting: collections.deque[ConnectionCallback] = (
            collections.deque()
        )

    def acquire(self, on_connection: ConnectionCallback) -> None:
        """Passes on a free connection, at once or when there is one.

        Args:
            on_connection: Called once with the connection, or with None if the
                target cannot be reached.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                on_connection(connection)
                return
        self._waiting.append(on_connection)
        if self._open_count < self._maximum_connections:
            self._connect()

    def cancel_acquire(self, on_connection: ConnectionCallback) -> None:
        """Stops waiting for a connection; does nothing if it was passed on."""
        if on_connection in self._waiting:
            self._waiting.remove(on_connection)

    def release(self, connection: http_connection.HttpConnection) -> None:
        """Passes a connection on to the longest waiting, or keeps it idle.

        Args:
            connection: A connection without a request in flight.
        """
        if not connection.is_usable:
            return
        if self._waiting:
            self._waiting.popleft()(connection)
        else:
            self._idle.append(connection)

    def _connect(self) -> None:
        self._open_count += 1
        connection = http_connection.HttpConnection(
            self._on_closed, self._on_unsolicited
        )
        connecting = endpoints.connectProtocol(  # type: ignore[no-untyped-call]
            self._endpoint, connection
        )
        connecting.addCallbacks(self.release, self._on_connect_failed)

    def _on_connect_failed(self, _reason: failure.Failure) -> None:
        self._open_count -= 1
        if self._waiting:
            self._waiting.popleft()(None)
        if self._waiting and self._open_count < self._maximum_connections:
            self._connect()

    def _on_unsolicited(self) -> None:
        self.unsolicited += 1

    def _on_closed(self, connection: http_connection.HttpConnection) -> None:
        self._open_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            self._connect()
