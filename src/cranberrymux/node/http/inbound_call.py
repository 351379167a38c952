"""A call read from a server connection, with its body and its answer."""

from collections.abc import Callable
from typing import Protocol

from cranberrymux.node.http import answer_head
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import body_sink
from cranberrymux.node.http import correlation
from cranberrymux.node.http import headers
from cranberrymux.node.http import request_head

_REASON_PHRASES = {
    200: b"OK",
    201: b"Created",
    202: b"Accepted",
    204: b"No Content",
    304: b"Not Modified",
    400: b"Bad Request",
    404: b"Not Found",
    409: b"Conflict",
    413: b"Content Too Large",
    414: b"URI Too Long",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Parts of a body that are kept apart. Those of a sender that writes a byte at a
# time would take many times the memory of the body.
MAXIMUM_LOOSE_PARTS = 1024
_BODYLESS_STATUSES = (204, 304)
_STATUS_LINES = {
    status: b"HTTP/1.1 %d %b\r\n" % (status, reason)
    for status, reason in _REASON_PHRASES.items()
}


class Connection(Protocol):
    """What a call needs of the connection that it was read from."""

    @property
    def is_draining(self) -> bool:
        """True if the connection closes after the answer in progress."""

    def send(self, data: bytes) -> None:
        """Writes bytes to the client."""

    def call_answered(self, keep_alive: bool) -> None:
        """Notes that the answer is complete.

        Args:
            keep_alive: False if the connection must close now.
        """

    def abort(self) -> None:
        """Closes at once, so that the client sees a truncated answer."""

    def pause_body(self) -> None:
        """Stops reading from the client."""

    def resume_body(self) -> None:
        """Reads from the client again."""


class InboundCall:
    """A call with its request body, read so far, and its answer.

    Once the answer is complete or aborted, or the client has disconnected,
    methods that send do nothing.

    Attributes:
        head: Request line and headers.
        body_length: Length in bytes of the body read so far.
        is_body_complete: True if the whole body has been read.
        is_body_streamed: True once the body is passed on and no longer
            buffered, so that it cannot be sent again.
        is_head_sent: True once the head of the final (not 1xx) answer was
            sent.
        on_cancel: Called once if the client disconnects before the answer is
            complete.
        on_send_buffer_drained: Called when the client has taken what was
            buffered for it.
        on_send_buffer_full: Called when that buffer is full.
        on_ended: Called once when the answer is complete or aborted, or the
            client has disconnected.
    """

    def __init__(
        self, connection: Connection, head: request_head.RequestHead
    ) -> None:
        """Creates a call of whose body nothing has been read.

        Args:
            connection: Connection that the call was read from.
            head: Request line and headers.
        """
        self.head = head
        self.on_cancel: Callable[[], None] | None = None
        self.on_send_buffer_drained: Callable[[], None] | None = None
        self.on_send_buffer_full: Callable[[], None] | None = None
        self.on_ended: Callable[[], None] | None = None
        self._connection = connection
        self._parts: list[bytes] = []
        self._loose_parts = 0
        self.body_length = 0
        self.is_body_complete = False
        self.is_body_streamed = False
        self.is_head_sent = False
        self._sink: body_sink.BodySink | None = None
        self._is_chunked_answer = False
        self._is_close_announced = False
        self._is_answered = False
        self._is_client_disconnected = False

    @property
    def is_answered(self) -> bool:
        """True once the answer has ended: sent, aborted or not wanted."""
        return self._is_answered

    @property
    def is_ended_by_close(self) -> bool:
        """True while an answer is sent that only an orderly close ends."""
        is_sending = self.is_head_sent and not self._is_answered
        return is_sending and self._is_unframed

    def buffered_body(self) -> bytes:
        """Returns the buffered body: what was read and not yet streamed."""
        return b"".join(self._parts) if self._parts else b""

    def add_body(self, part: bytes) -> None:
        """Buffers or streams the next bytes of the body, as read."""
        self.body_length += len(part)
        if self._sink is not None:
            self._sink.body_part(part)
            return
        self._parts.append(part)
        self._loose_parts += 1
        if self._loose_parts >= MAXIMUM_LOOSE_PARTS:
            loose = self._parts[-MAXIMUM_LOOSE_PARTS:]
            self._parts[-MAXIMUM_LOOSE_PARTS:] = [b"".join(loose)]
            self._loose_parts = 0

    def complete_body(self) -> None:
        """Notes that the whole body was read."""
        self.is_body_complete = True
        if self._sink is not None:
            self._sink.body_complete()

    def stream_body_to(self, sink: body_sink.BodySink) -> None:
        """Passes the buffered body to a sink, and the rest as it is read.

        Args:
            sink: Receives the body; it is no longer buffered here.
        """
        self._sink = sink
        self.is_body_streamed = True
        if not self.is_body_complete:
            self.resume_body()
        parts = self._parts
        self._parts = []
        for part in parts:
            sink.body_part(part)
        if self.is_body_complete:
            sink.body_complete()

    def hold_body(self) -> None:
        """Stops reading from the client until the body is streamed.

        To be called while a call waits, so that bodies of waiting calls are
        held by their senders. Does nothing if the whole body was read, or is
        taken or not wanted any more.
        """
        if not (
            self.is_body_complete or self.is_body_streamed or self._is_answered
        ):
            self.pause_body()

    def pause_body(self) -> None:
        """Stops reading from the client."""
        self._connection.pause_body()

    def resume_body(self) -> None:
        """Reads from the client again."""
        self._connection.resume_body()

    def send_interim(self, status: int, extra: headers.HeaderList) -> None:
        """Sends a 1xx answer, unless it is too late or to HTTP/1.0.

        Args:
            status: Status code from 100 to 199.
            extra: Headers of the 1xx answer.
        """
        if self._is_answered or self.is_head_sent or self.head.is_http_1_0:
            return
        line = b"HTTP/1.1 %d Interim\r\n" % status
        self._connection.send(line + headers.encode(extra) + b"\r\n")

    def answer(
        self, status: int, answer_headers: headers.HeaderList, body: bytes
    ) -> None:
        """Sends a whole answer in one write.

        Args:
            status: Status code.
            answer_headers: Headers without those of framing.
            body: The whole body; left out if the method is HEAD.
        """
        if self._is_answered:
            return
        data = self._encode_head(
            status, answer_headers, body_mode.BodyMode.SIZED, len(body)
        )
        if self.head.method != b"HEAD":
            data += body
        self.is_head_sent = True
        self._connection.send(data)
        self._mark_ended()
        self._connection.call_answered(not self._is_close_announced)

    def start_answer(self, head: answer_head.AnswerHead) -> None:
        """Sends the head of an answer whose body follows in parts.

        Args:
            head: Head of the answer, its headers without those of framing.
        """
        if self._is_answered:
            return
        self._is_chunked_answer = head.mode is body_mode.BodyMode.CHUNKED
        self.is_head_sent = True
        self._connection.send(self._encode_head(*head))

    def send_body(self, part: bytes) -> None:
        """Sends a part of the answer's body, framed as `start_answer` said."""
        if self._is_answered or not part:
            return
        if self._is_chunked_answer and not self.head.is_http_1_0:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        self._connection.send(part)

    def finish(self) -> None:
        """Ends the answer, whose whole body has been sent."""
        if self._is_answered:
            return
        if (
            self._is_chunked_answer
            and not self.head.is_http_1_0
            and self.head.method != b"HEAD"
        ):
            self._connection.send(b"0\r\n\r\n")
        self._mark_ended()
        may_stay_open = (
            self.head.keep_alive
            and self.is_body_complete
            and not self._is_close_announced
            and not self._is_unframed
            and not self._connection.is_draining
        )
        self._connection.call_answered(may_stay_open)

    def abort(self) -> None:
        """Aborts the connection, so that the client sees no complete answer."""
        if self._is_answered:
            return
        self._mark_ended()
        self._connection.abort()

    def client_disconnected(self) -> None:
        """Notes that the client disconnected, or counts as if it had."""
        if self._is_client_disconnected:
            return
        self._is_client_disconnected = True
        if not self.is_body_complete and self._sink is not None:
            self._sink.body_aborted()
        if self._is_answered:
            return
        on_cancel = self.on_cancel
        self._mark_ended()
        if on_cancel is not None:
            on_cancel()

    def _mark_ended(self) -> None:
        self._is_answered = True
        if self.on_ended is not None:
            self.on_ended()
        # The callbacks refer to the call: a reference cycle, which only the
        # garbage collector would free.
        self.on_cancel = None
        self.on_ended = None
        self.on_send_buffer_drained = None
        self.on_send_buffer_full = None

    @property
    def _is_unframed(self) -> bool:
        return self._is_chunked_answer and self.head.is_http_1_0

    def _encode_head(
        self,
        status: int,
        answer_headers: headers.HeaderList,
        mode: body_mode.BodyMode,
        content_length: int,
    ) -> bytes:
        line = _STATUS_LINES.get(status)
        if line is None:
            line = b"HTTP/1.1 %d Status\r\n" % status
        if correlation.HEADER in self.head.headers.first:
            answer_headers = answer_headers + correlation.find_header(
                self.head.headers
            )
        data = line + headers.encode(answer_headers)
        if mode is body_mode.BodyMode.CHUNKED:
            if not self.head.is_http_1_0:
                data += b"transfer-encoding: chunked\r\n"
        elif (
            mode is body_mode.BodyMode.SIZED
            and status not in _BODYLESS_STATUSES
        ):
            data += b"content-length: %d\r\n" % content_length
        if (
            not self.head.keep_alive
            or not self.is_body_complete
            or self._connection.is_draining
        ):
            self._is_close_announced = True
            data += b"connection: close\r\n"
        return data + b"\r\n"
