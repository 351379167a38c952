"""Kept-alive connections to the endpoints that are called."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from twisted.internet import protocol

from cranberrymux.node.http import client_connection
from cranberrymux.node.http import liveness
from cranberrymux.node.http import lost_answer


class Address(NamedTuple):
    """Where a receiver listens.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str
    port: int


class Lease:
    """A claim on a connection that may still be connecting."""

    def __init__(
        self,
        on_ready: Callable[[client_connection.ClientConnection], None],
        on_failed: Callable[[lost_answer.LostAnswer], None],
    ) -> None:
        """Keeps who waits."""
        self.on_ready = on_ready
        self.on_failed = on_failed
        self.is_cancelled = False


class _Connector(protocol.ClientFactory):
    """Makes one connection for one lease."""

    noisy = False

    def __init__(self, pool: "ConnectionPool", address: Address) -> None:
        self._pool = pool
        self._address = address

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> client_connection.ClientConnection:
        del addr
        return _PooledConnection(self._pool, self._address)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        del connector
        self._pool.connect_failed(self._address, reason.getErrorMessage())


class _PooledConnection(client_connection.ClientConnection):
    def __init__(self, pool: "ConnectionPool", address: Address) -> None:
        super().__init__()
        self._pool = pool
        self._address = address
        self.accepts_unframed = pool.accepts_unframed
        self.on_idle = self._return
        self.on_closed = self._leave

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        if self._pool.watches:
            liveness.watch(self.transport)
        self._pool.add_idle(self._address, self)

    def _return(self, connection: client_connection.ClientConnection) -> None:
        self._pool.add_idle(self._address, connection)

    def _leave(self, connection: client_connection.ClientConnection) -> None:
        self._pool.remove(self._address, connection)


class ConnectionPool:
    """Hands out idle connections and opens new ones where none is idle."""

    def __init__(
        self,
        reactor: Any,
        connect_timeout_s: float = 1.0,
        idle_per_address: int = 512,
        accepts_unframed: bool = False,
        watches: bool = False,
    ) -> None:
        """Makes an empty pool.

        Args:
            reactor: The reactor to use.
            connect_timeout_s: Longest wait for a connection.
            idle_per_address: Idle connections kept to one address.
            accepts_unframed: True if answers may end with their connection.
            watches: True if connections that go silent are to be found.
        """
        self.watches = watches
        self.accepts_unframed = accepts_unframed
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._idle_per_address = idle_per_address
        self._idle: dict[Address, list[client_connection.ClientConnection]] = {}
        self._waiting: dict[Address, list[Lease]] = {}
        self._is_closed = False

    def take(
        self,
        address: Address,
        on_ready: Callable[[client_connection.ClientConnection], None],
        on_failed: Callable[[lost_answer.LostAnswer], None],
    ) -> Lease:
        """Calls `on_ready` with a connection, at once if one is idle."""
        lease = Lease(on_ready, on_failed)
        idle = self._idle.get(address)
        now_s = self._reactor.seconds()
        while idle:
            connection = idle.pop()
            if not connection.is_usable:
                continue
            if now_s >= connection.kept_until_s:
                connection.close()
                continue
            on_ready(connection)
            return lease
        self._waiting.setdefault(address, []).append(lease)
        self._reactor.connectTCP(
            address.host,
            address.port,
            _Connector(self, address),
            timeout=self._connect_timeout_s,
        )
        return lease

    def add_idle(
        self, address: Address, connection: client_connection.ClientConnection
    ) -> None:
        """Takes a connection that is ready for a request."""
        lease = self._next_waiting(address)
        if lease is not None:
            lease.on_ready(connection)
            return
        idle = self._idle.setdefault(address, [])
        if self._is_closed or len(idle) >= self._idle_per_address:
            connection.close()
            return
        connection.note_idle(self._reactor.seconds())
        idle.append(connection)

    def remove(
        self, address: Address, connection: client_connection.ClientConnection
    ) -> None:
        """Forgets a connection that has closed."""
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)

    def connect_failed(self, address: Address, detail: str) -> None:
        """Tells one waiting lease that nothing was handed over."""
        lease = self._next_waiting(address)
        if lease is None:
            return
        lease.on_failed(
            lost_answer.LostAnswer(
                lost_answer.LossReason.NOT_CONNECTED, False, detail
            )
        )

    def close(self) -> None:
        """Closes every idle connection."""
        self._is_closed = True
        for idle in self._idle.values():
            for connection in list(idle):
                connection.close()
        self._idle.clear()

    def _next_waiting(self, address: Address) -> Lease | None:
        waiting = self._waiting.get(address)
        while waiting:
            lease = waiting.pop(0)
            if not lease.is_cancelled:
                return lease
        return None
