"""Pool of kept-alive HTTP client connections, by address."""

from collections.abc import Callable
import functools
from typing import Any

from twisted.internet import protocol

from cranberrymux.models import socket_address
from cranberrymux.node.http import answer_limits
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import dead_peer_detection
from cranberrymux.node.http import idle_connections
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import request_identity
from cranberrymux.node.http import unexpected_answer


class Lease:
    """A request to the pool for a connection, which may be pending.

    Attributes:
        on_ready: Called once with a connection that can take a request.
        on_failed: Called instead if no connection could be opened.
        identity: Id of the request to send; None if it has none.
        is_cancelled: Set to True by the owner to have neither called.
    """

    def __init__(
        self,
        on_ready: Callable[[client_connection.ClientConnection], None],
        on_failed: Callable[[lost_answer.LostAnswer], None],
        identity: request_identity.RequestIdentity | None,
    ) -> None:
        """Creates a lease that is not cancelled."""
        self.on_ready = on_ready
        self.on_failed = on_failed
        self.identity = identity
        self.is_cancelled = False


class _ConnectionFactory(protocol.ClientFactory):
    """Opens one connection to an address for the pool."""

    noisy = False

    def __init__(
        self, pool: "ConnectionPool", address: socket_address.SocketAddress
    ) -> None:
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
    def __init__(
        self, pool: "ConnectionPool", address: socket_address.SocketAddress
    ) -> None:
        super().__init__(pool.limits)
        self._pool = pool
        self._address = address
        self.accepts_close_delimited = pool.accepts_close_delimited
        self.on_unexpected = pool.on_unexpected
        self.on_idle = functools.partial(pool.add_idle, address)
        self.on_closed = pool.remove

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        if self._pool.detects_dead_peers:
            dead_peer_detection.enable(self.transport)
        self._pool.add_idle(self._address, self)

    def body_began(self) -> None:
        """Lets the receiver of a long body pause."""
        if self._pool.detects_dead_peers:
            dead_peer_detection.tolerate_pauses(self.transport, True)

    def body_ended(self) -> None:
        """Takes a receiver that pauses for one that vanished again."""
        if self._pool.detects_dead_peers:
            dead_peer_detection.tolerate_pauses(self.transport, False)


class ConnectionPool:
    """Lends connections: idle ones first, otherwise new ones.

    A connection that becomes ready goes to the lease for its address that has
    waited longest, whichever lease it was opened for. A connection is not lent
    for a request that was sent on it shortly before.

    Attributes:
        detects_dead_peers: True if vanished peers are detected.
        accepts_close_delimited: True if the end of a connection may end an
            answer.
        on_unexpected: Called with each occurrence of bytes that do not answer
            the pending request of their connection; None ignores them.
        limits: Limits on each answer.
    """

    def __init__(
        self,
        reactor: Any,
        connect_timeout_s: float = 1.0,
        accepts_close_delimited: bool = False,
        detects_dead_peers: bool = False,
        on_unexpected: (
            Callable[[unexpected_answer.UnexpectedAnswer], None] | None
        ) = None,
        limits: answer_limits.AnswerLimits = answer_limits.DEFAULT,
    ) -> None:
        """Creates an empty pool.

        Args:
            reactor: Opens connections and gives the time.
            connect_timeout_s: Longest time that opening a connection may take.
            accepts_close_delimited: True if the end of a connection may end an
                answer.
            detects_dead_peers: True if vanished peers are to be detected.
            on_unexpected: Called with each occurrence of bytes that do not
                answer the pending request of their connection.
            limits: Limits on each answer.
        """
        self.limits = limits
        self.on_unexpected = on_unexpected
        self.detects_dead_peers = detects_dead_peers
        self.accepts_close_delimited = accepts_close_delimited
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._idle = idle_connections.IdleConnections()
        self._waiting: dict[socket_address.SocketAddress, list[Lease]] = {}
        self._is_closed = False

    def take(
        self,
        address: socket_address.SocketAddress,
        on_ready: Callable[[client_connection.ClientConnection], None],
        on_failed: Callable[[lost_answer.LostAnswer], None],
        identity: request_identity.RequestIdentity | None = None,
    ) -> Lease | None:
        """Requests a connection.

        Args:
            address: Address of the receiver.
            on_ready: Called with a connection that can take a request, before
                this returns if one is idle.
            on_failed: Called instead if no connection could be opened.
            identity: Id of the request to send; None if it has none.

        Returns:
            The lease, by which the request can be cancelled; None if
            `on_ready` was called.
        """
        connection = self._idle.take(address, identity, self._reactor.seconds())
        if connection is not None:
            on_ready(connection)
            return None
        lease = Lease(on_ready, on_failed, identity)
        self._waiting.setdefault(address, []).append(lease)
        self._reactor.connectTCP(
            address.host,
            address.port,
            _ConnectionFactory(self, address),
            timeout=self._connect_timeout_s,
        )
        return lease

    def add_idle(
        self,
        address: socket_address.SocketAddress,
        connection: client_connection.ClientConnection,
    ) -> None:
        """Lends an idle connection to the next waiting lease, or keeps it.

        Args:
            address: Address of the receiver.
            connection: An open connection without a pending request; closed
                if the pool is closed.
        """
        if self._waiting.get(address):
            lease = self._pop_waiting(address, connection)
            if lease is not None:
                lease.on_ready(connection)
                return
        if self._is_closed:
            connection.close()
            return
        self._idle.add(address, connection, self._reactor.seconds())

    def remove(self, connection: client_connection.ClientConnection) -> None:
        """Drops a connection that has closed."""
        self._idle.remove(connection)

    def connect_failed(
        self, address: socket_address.SocketAddress, detail: str
    ) -> None:
        """Fails the lease for an address that has waited longest.

        Args:
            address: Address to which no connection could be opened.
            detail: Readable cause in one line.
        """
        lease = self._pop_waiting(address)
        if lease is None:
            return
        lease.on_failed(
            lost_answer.LostAnswer(
                lost_answer.LossReason.NOT_CONNECTED, False, detail
            )
        )

    def close(self) -> None:
        """Closes the idle connections and keeps none from now on."""
        self._is_closed = True
        self._idle.close_all()

    def _pop_waiting(
        self,
        address: socket_address.SocketAddress,
        connection: client_connection.ClientConnection | None = None,
    ) -> Lease | None:
        """Removes and returns the lease that has waited longest.

        Args:
            address: Address of the receiver.
            connection: Connection to lend; leases for requests that were sent
                on it before are passed over.
        """
        waiting = self._waiting.get(address, [])
        index = 0
        while index < len(waiting):
            lease = waiting[index]
            if lease.is_cancelled:
                del waiting[index]
            elif connection is not None and connection.has_sent(lease.identity):
                index += 1
            else:
                return waiting.pop(index)
        return None
