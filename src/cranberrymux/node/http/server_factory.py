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
        seen: dict[server_connection.ServerConnection, Any],
    ) -> None:
        super().__init__(handler, message_limits)
        self._open_connections = open_connections
        self._seen = seen

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._open_connections.add(self)

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        self._open_connections.discard(self)
        self._seen.pop(self, None)
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
        # What each connection waits for, and since when.
        self._seen: dict[
            server_connection.ServerConnection, tuple[tuple[bool, int], float]
        ] = {}

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> server_connection.ServerConnection:
        """Makes a connection."""
        del addr  # Callers are told apart by their headers.
        made = _TrackedConnection(
            self._handler, self._limits, self._open_connections, self._seen
        )
        made.is_leaving = self._is_leaving
        return made

    def set_limits(self, message_limits: limits.Limits) -> None:
        """Takes bounds for the connections that are made from now on."""
        self._limits = message_limits

    def sweep(self, now_s: float, idle_s: float, head_timeout_s: float) -> None:
        """Closes connections that are idle, or slow to send a head.

        Args:
            now_s: Present time; to be called about once a second.
            idle_s: How long an idle connection is kept.
            head_timeout_s: Longest time in which a head arrives.
        """
        for connection in list(self._open_connections):
            if connection.is_reading_head:
                state = (True, 0)
                longest_s = head_timeout_s
            elif connection.is_idle:
                state = (False, connection.received)
                longest_s = idle_s
            else:
                self._seen.pop(connection, None)
                continue
            known = self._seen.get(connection)
            if known is None or known[0] != state:
                self._seen[connection] = (state, now_s)
            elif now_s - known[1] > longest_s:
                connection.close()

    def leave(self) -> None:
        """Closes each connection after its next answer."""
        self._is_leaving = True
        for connection in self._open_connections:
            connection.is_leaving = True

    def close_connections(self) -> None:
        """Closes every connection once what was written has been taken."""
        for connection in list(self._open_connections):
            connection.close()
