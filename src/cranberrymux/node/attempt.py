"""One request sent over a pooled connection, and its answer."""

from typing import Protocol

from cranberrymux.models import socket_address
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import request_identity

# Answers up to this size are read whole before a byte is passed on, so that
# the request can still be sent elsewhere if the connection breaks.
HELD_ANSWER_BYTES = 262_144


class ForwardedRequest(Protocol):
    """A request as it is sent on."""

    @property
    def call(self) -> inbound_call.InboundCall:
        """The received request, from which the body comes."""

    def encode(self) -> bytes:
        """Encodes the head, and the body if all of it has been read."""


class AttemptOwner(Protocol):
    """Receives the outcome of an attempt.

    It is `attempt_answered`, `attempt_lost` or, for a long answer,
    `attempt_streaming`, then any number of `attempt_part`, and last
    `attempt_ended` or `attempt_lost`.
    """

    def attempt_sent(self) -> None:
        """Called right before the first byte is written."""

    def attempt_answered(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Receives a whole answer that was short enough to be held."""

    def attempt_streaming(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Receives the head and the first bytes of a longer answer."""

    def attempt_part(self, part: bytes) -> None:
        """Receives the next bytes of a longer answer."""

    def attempt_ended(self) -> None:
        """Called when a longer answer is complete."""

    def attempt_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Called when the rest of the answer will not arrive."""


class Attempt:
    """Sends a request once and reports the answer or its loss."""

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        address: socket_address.SocketAddress,
        request: ForwardedRequest,
        owner: AttemptOwner,
        identity: request_identity.RequestIdentity,
        maximum_held_bytes: int = HELD_ANSWER_BYTES,
    ) -> None:
        """Prepares the attempt; `start` sends the request.

        Args:
            pool: Provides the connection.
            address: Address of the other node or of the backend server.
            request: The request to send.
            owner: Receives the outcome.
            identity: Id of the request. An answer with another id is not its
                answer.
            maximum_held_bytes: Longest body of an answer that is read whole
                before a byte is passed on.
        """
        self._pool = pool
        self._address = address
        self._request = request
        self._owner: AttemptOwner | None = owner
        self._identity = identity
        self._maximum_held_bytes = maximum_held_bytes
        self._lease: connection_pool.Lease | None = None
        self._connection: client_connection.ClientConnection | None = None
        self._head: answer_head.AnswerHead | None = None
        self._parts: list[bytes] = []
        self._held_bytes = 0
        self._is_streaming = False

    @property
    def is_handed_over(self) -> bool:
        """True if bytes of the request may have reached the receiver."""
        return self._connection is not None

    def start(self) -> None:
        """Takes a connection from the pool and sends the request on it."""
        self._lease = self._pool.take(
            self._address,
            self._handle_connected,
            self._handle_connect_failed,
            self._identity,
        )

    def cancel(self) -> None:
        """Abandons the request; the receiver sees the connection close."""
        self._owner = None
        if self._lease is not None:
            self._lease.is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()
            self._connection = None

    def pause(self) -> None:
        """Stops reading the answer until `resume`."""
        if self._connection is not None:
            self._connection.pause_answer()

    def resume(self) -> None:
        """Continues to read the answer after `pause`."""
        if self._connection is not None:
            self._connection.resume_answer()

    def _handle_connected(
        self, connection: client_connection.ClientConnection
    ) -> None:
        owner = self._owner
        if owner is None:
            self._pool.add_idle(self._address, connection)
            return
        self._connection = connection
        owner.attempt_sent()
        call = self._request.call
        is_head = call.head.method == b"HEAD"
        is_whole = call.is_body_complete
        connection.send_request(
            self._request.encode(), is_whole, is_head, self, self._identity
        )
        if not is_whole:
            call.stream_body_to(self)

    def _handle_connect_failed(self, loss: lost_answer.LostAnswer) -> None:
        self._report_loss(loss)

    # Body of a request that is streamed.

    def body_part(self, part: bytes) -> None:
        """Sends the next bytes of the body, as a chunk if it is chunked."""
        if self._connection is None or not part:
            return
        if self._request.call.head.mode is body_mode.BodyMode.CHUNKED:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        self._connection.send_body(part)

    def body_complete(self) -> None:
        """Sends the end of the body."""
        if self._connection is None:
            return
        if self._request.call.head.mode is body_mode.BodyMode.CHUNKED:
            self._connection.send_body(b"0\r\n\r\n")
        self._connection.end_body()

    def body_aborted(self) -> None:
        """Cancels the request, as the rest of its body will not arrive."""
        if self._connection is not None:
            self._connection.cancel()

    # Answer from the connection.

    def answer_interim(
        self, status: int, extra: headers_module.HeaderList
    ) -> None:
        """Ignores 1xx answers; no body waits for a 100 (Continue)."""

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Stores the head until the owner is told."""
        self._head = head

    def answer_part(self, part: bytes) -> None:
        """Buffers the next bytes, or passes them on once streaming."""
        if self._is_streaming:
            if self._owner is not None:
                self._owner.attempt_part(part)
            return
        self._parts.append(part)
        self._held_bytes += len(part)
        if self._held_bytes > self._maximum_held_bytes:
            self._start_streaming()

    def answer_complete(self) -> None:
        """Reports the end of the answer to the owner."""
        owner = self._owner
        self._owner = None
        self._connection = None
        if owner is None or self._head is None:
            return
        if self._is_streaming:
            owner.attempt_ended()
        else:
            parts = self._parts
            body = parts[0] if len(parts) == 1 else b"".join(parts)
            owner.attempt_answered(self._head, body)

    def answer_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Reports the loss of the answer to the owner."""
        self._connection = None
        self._report_loss(loss)

    def request_buffer_full(self) -> None:
        """Pauses the body, as the connection's send buffer is full."""
        if not self._request.call.is_body_complete:
            self._request.call.pause_body()

    def request_buffer_drained(self) -> None:
        """Resumes the body, as the connection's send buffer is empty."""
        if not self._request.call.is_body_complete:
            self._request.call.resume_body()

    def _start_streaming(self) -> None:
        self._is_streaming = True
        if self._owner is not None and self._head is not None:
            self._owner.attempt_streaming(self._head, b"".join(self._parts))
        self._parts = []

    def _report_loss(self, loss: lost_answer.LostAnswer) -> None:
        owner = self._owner
        self._owner = None
        if owner is not None:
            owner.attempt_lost(loss)
