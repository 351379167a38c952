"""Makes server connections and keeps track of them."""

from typing import Any

from twisted.internet import protocol

from cranberrymux.node.http import call_handler
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_connection


class _TrackedConnection(server_connection.ServerConnection):
    def __init__(
        self,
        handler: call_handler.CallHandler,
        message_limits: limits.Limits,
        open_connections: set[server_connection.ServerConnection],
    ) -> None:
        super().__init__(handler, message_limits)
        self._open_connections = open_connections

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._open_connections.add(self)

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        self._open_connections.discard(self)
        super().connectionLost(reason)


class ServerFactory(protocol.ServerFactory):
    """A factory for one listening port."""

    noisy = False

    def __init__(
        self, handler: call_handler.CallHandler, message_limits: limits.Limits
    ) -> None:
        """Keeps what each connection gets."""
        self._handler = handler
        self._limits = message_limits
        self._open_connections: set[server_connection.ServerConnection] = set()
        self._is_leaving = False

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> server_connection.ServerConnection:
        """Makes a connection."""
        del addr  # Callers are told apart by their headers.
        made = _TrackedConnection(
            self._handler, self._limits, self._open_connections
        )
        made.is_leaving = self._is_leaving
        return made

    def leave(self) -> None:
        """Closes each connection after its next answer."""
        self._is_leaving = True
        for connection in self._open_connections:
            connection.is_leaving = True

    def close_connections(self) -> None:
        """Closes every connection once what was written has been taken."""
        for connection in list(self._open_connections):
            connection.close()
