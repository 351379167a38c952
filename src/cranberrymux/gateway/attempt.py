"""One request sent on, and its answer."""

from typing import Protocol

from cranberrymux.gateway import outgoing
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import lost_answer

# Answers up to this size are taken whole before a byte is passed on, so that
# one that breaks off can still be replaced.
HELD_ANSWER_BYTES = 262_144


class AttemptOwner(Protocol):
    """Takes the outcome: one of `answered`, `streaming` or `lost` first."""

    def attempt_sent(self) -> None:
        """The first byte is about to be written."""

    def attempt_answered(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Takes a whole answer."""

    def attempt_streaming(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Takes the beginning of a long answer."""

    def attempt_part(self, part: bytes) -> None:
        """Takes more of a long answer."""

    def attempt_ended(self) -> None:
        """Takes note that a long answer is whole."""

    def attempt_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Takes note that the rest of the answer never comes."""


class Attempt:
    """Sends a request over a pooled connection."""

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        address: connection_pool.Address,
        request: outgoing.Outgoing,
        owner: AttemptOwner,
        request_id: bytes,
        id_header: bytes,
    ) -> None:
        """Keeps what `start` needs."""
        self._pool = pool
        self._address = address
        self._request = request
        self._owner: AttemptOwner | None = owner
        self._request_id = request_id
        self._id_header = id_header
        self._lease: connection_pool.Lease | None = None
        self._connection: client_connection.ClientConnection | None = None
        self._head: answer_head.AnswerHead | None = None
        self._parts: list[bytes] = []
        self._held_bytes = 0
        self._is_streaming = False

    def start(self) -> None:
        """Takes a connection, then sends."""
        self._lease = self._pool.take(
            self._address, self._connected, self._connect_failed
        )

    def cancel(self) -> None:
        """Drops the request; the receiver sees the connection close."""
        self._owner = None
        if self._lease is not None:
            self._lease.is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()
            self._connection = None

    def pause(self) -> None:
        """Stops reading the answer."""
        if self._connection is not None:
            self._connection.pause_answer()

    def resume(self) -> None:
        """Reads the answer again."""
        if self._connection is not None:
            self._connection.resume_answer()

    def _connected(
        self, connection: client_connection.ClientConnection
    ) -> None:
        owner = self._owner
        if owner is None:
            self._pool.add_idle(self._address, connection)
            return
        self._connection = connection
        connection.answer_filter = self._is_own_answer
        owner.attempt_sent()
        request = self._request
        is_head = request.method == b"HEAD"
        connection.send_request(
            request.encode(), request.is_whole, is_head, self
        )
        if not request.is_whole:
            request.call.stream_body_to(self)

    def _connect_failed(self, loss: lost_answer.LostAnswer) -> None:
        self._lose(loss)

    def _is_own_answer(self, headers: headers_module.HeaderList) -> bool:
        said = headers_module.find(headers, self._id_header)
        return said is None or said == self._request_id

    # The request's body, if it is streamed.

    def body_part(self, part: bytes) -> None:
        """Sends the next bytes of the body."""
        if self._connection is None or not part:
            return
        if self._request.is_chunked:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        self._connection.send_body(part)

    def body_complete(self) -> None:
        """Ends the body."""
        if self._connection is None:
            return
        # The call is complete by now, so its head tells the framing.
        if self._request.call.head.mode is body_mode.BodyMode.CHUNKED:
            self._connection.send_body(b"0\r\n\r\n")
        self._connection.end_body()

    def body_aborted(self) -> None:
        """Drops the request: its body never becomes whole."""
        if self._connection is not None:
            self._connection.cancel()

    # The answer.

    def answer_interim(
        self, status: int, extra: headers_module.HeaderList
    ) -> None:
        """Ignores interim answers; bodies are sent without asking."""

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Takes the head."""
        self._head = head

    def answer_part(self, part: bytes) -> None:
        """Holds or passes on the next bytes."""
        if self._is_streaming:
            if self._owner is not None:
                self._owner.attempt_part(part)
            return
        self._parts.append(part)
        self._held_bytes += len(part)
        if self._held_bytes > HELD_ANSWER_BYTES:
            self._begin_stream()

    def answer_complete(self) -> None:
        """Ends the answer."""
        owner = self._owner
        self._owner = None
        self._connection = None
        if owner is None or self._head is None:
            return
        if self._is_streaming:
            owner.attempt_ended()
        else:
            owner.attempt_answered(self._head, b"".join(self._parts))

    def answer_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Tells the owner."""
        self._connection = None
        self._lose(loss)

    def request_buffer_full(self) -> None:
        """The receiver takes the body slowly."""
        if not self._request.call.is_body_complete:
            self._request.call.pause_body()

    def request_buffer_drained(self) -> None:
        """The receiver has taken what was written."""
        if not self._request.call.is_body_complete:
            self._request.call.resume_body()

    def _begin_stream(self) -> None:
        self._is_streaming = True
        if self._owner is not None and self._head is not None:
            self._owner.attempt_streaming(self._head, b"".join(self._parts))
        self._parts = []

    def _lose(self, loss: lost_answer.LostAnswer) -> None:
        owner = self._owner
        self._owner = None
        if owner is not None:
            owner.attempt_lost(loss)
