"""A request from one node to another that belongs to no call."""

from collections.abc import Callable
from typing import NamedTuple

from cranberrymux.models import socket_address
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import correlation
from cranberrymux.node.http import headers
from cranberrymux.node.http import lost_answer

# On requests of nodes: the cluster key.
KEY_HEADER = b"cranberrymux-key"
_MAXIMUM_ANSWER_BYTES = 4096
_OK = 200


class PeerMessage(NamedTuple):
    """The variable parts of a request to another node.

    Attributes:
        target: Request target.
        header: Name and value of the header that holds the message.
        key: Cluster key, which proves that the sender is a node.
    """

    target: bytes
    header: tuple[bytes, bytes]
    key: bytes


class PeerRequest:
    """Sends one message and collects the answer's body.

    Implements `answer_sink.AnswerSink`.
    """

    def __init__(
        self,
        message: PeerMessage,
        on_answer: Callable[[bytes | None], None],
    ) -> None:
        """Prepares the request; `start` sends it.

        Args:
            message: The message to send.
            on_answer: Called once: with the whole body of an answer with
                status 200, None if there is none or it is too long.
        """
        self._message = message
        self._on_answer = on_answer
        self._status = 0
        self._body = b""
        self._is_over = False
        self._lease: connection_pool.Lease | None = None
        self._connection: client_connection.ClientConnection | None = None

    def start(
        self,
        pool: connection_pool.ConnectionPool,
        address: socket_address.SocketAddress,
    ) -> None:
        """Sends the message once a connection is ready."""
        self._lease = pool.take(address, self._connected, self.answer_lost)

    def give_up(self) -> None:
        """Cancels the request; ignored once it has ended."""
        if self._is_over:
            return
        if self._lease is not None:
            self._lease.is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()
        self._end(None)

    def answer_interim(self, status: int, extra: headers.HeaderList) -> None:
        """Ignores 1xx answers."""

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Records the status."""
        self._status = head.status

    def answer_part(self, part: bytes) -> None:
        """Collects the body; gives up beyond `_MAXIMUM_ANSWER_BYTES`."""
        self._body += part
        if len(self._body) > _MAXIMUM_ANSWER_BYTES:
            self.give_up()

    def answer_complete(self) -> None:
        """Ends the request with the body if the status is 200."""
        self._end(self._body if self._status == _OK else None)

    def answer_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Ends the request without an answer."""
        del loss
        self._end(None)

    def request_buffer_full(self) -> None:
        """Ignores back-pressure: the request has no body."""

    def request_buffer_drained(self) -> None:
        """Ignores the end of back-pressure."""

    def _connected(
        self, connection: client_connection.ClientConnection
    ) -> None:
        self._connection = connection
        name, value = self._message.header
        identity = correlation.make_identity()
        request = (
            b"POST %b HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n"
            b"%b: %b\r\n%b: %b\r\n%b: %b\r\n\r\n"
            % (
                self._message.target,
                KEY_HEADER,
                self._message.key,
                name,
                value,
                identity.header,
                identity.value,
            )
        )
        connection.send_request(request, True, False, self, identity)

    def _end(self, body: bytes | None) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._on_answer(body)
