"""The server's side of an HTTP/1.1 connection."""

import collections
from typing import Any
from typing import cast

import httptools
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
import zope.interface

from cranberrymux.models import answer_kind
from cranberrymux.node.http import bad_message
from cranberrymux.node.http import call_handler
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits
from cranberrymux.node.http import prompt_writer
from cranberrymux.node.http import rejection
from cranberrymux.node.http import request_head
from cranberrymux.node.http import request_head_reader


@zope.interface.implementer(interfaces.IPushProducer)
class ServerConnection(protocol.Protocol):
    """Reads calls, hands them to a handler one after the other.

    Pipelined calls are answered in order: the next one starts when the answer
    to the one before it is complete. While one waits, reading pauses.

    Attributes:
        is_leaving: True if it closes after the answer under way.
    """

    def __init__(
        self, handler: call_handler.CallHandler, message_limits: limits.Limits
    ) -> None:
        """Keeps the handler and the limits."""
        self._handler = handler
        self._limits = message_limits
        self._parser = httptools.HttpRequestParser(self)
        self._current: inbound_call.InboundCall | None = None
        self._waiting: collections.deque[inbound_call.InboundCall] = (
            collections.deque()
        )
        self._reading: inbound_call.InboundCall | None = None
        self._started: inbound_call.InboundCall | None = None
        self._target = b""
        self._headers: headers.HeaderList = []
        self._header_bytes = 0
        self._bad: bad_message.BadMessage | None = None
        self._is_in_head = False
        self._received = 0
        self._is_closing = False
        self._is_paused = False
        self._is_body_paused = False
        self._tcp: Any = None
        self.is_leaving = False

    def connectionMade(self) -> None:  # noqa: N802
        """Registers for backpressure of the answers."""
        self._tcp = self.transport
        self._tcp.setTcpNoDelay(True)
        self._tcp.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser; a broken message gets its answer in order."""
        self._received += 1
        if self._is_closing or self._bad is not None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(bad_message.BadMessage(501, "upgrade is not served"))
        except httptools.HttpParserCallbackError:
            if self._bad is None:
                # A fault of ours, not of the message: Twisted logs it and
                # closes.
                raise
            self._reject(self._bad)
        except httptools.HttpParserError as error:
            self._reject(bad_message.BadMessage(400, str(error)))

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tells every call that the client has gone."""
        del reason  # Any end of the connection is the same to the calls.
        self._is_closing = True
        if self._current is not None:
            self._current.client_lost()
        for call in self._waiting:
            call.client_lost()
        self._waiting.clear()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a new message."""
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._is_in_head = True

    def on_url(self, part: bytes) -> None:
        """Collects the request target."""
        self._target += part
        if len(self._target) > self._limits.target_bytes:
            self._fail(414, f"target over {self._limits.target_bytes} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._limits.header_bytes:
            self._fail(431, f"headers over {self._limits.header_bytes} bytes")
        if len(self._headers) >= self._limits.header_count:
            self._fail(431, f"over {self._limits.header_count} headers")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks the head and makes the call."""
        self._is_in_head = False
        head = self._make_head()
        call = inbound_call.InboundCall(self, head)
        self._reading = call
        self._started = None
        if len(self._waiting) >= self._limits.pipelined_calls:
            self._fail(400, "too many pipelined calls")
        expectation = headers.find(self._headers, b"expect")
        if expectation is not None:
            if expectation.lower() != b"100-continue":
                self._fail(417, "only 100-continue can be expected")
            if self._current is None and not self._waiting:
                call.send_interim(100, [])

    def on_body(self, part: bytes) -> None:
        """Hands a part of a body to its call."""
        call = self._reading
        if call is None:
            return
        call.add_body(part)
        if call.body_length > self._limits.body_bytes:
            self._fail(413, f"body over {self._limits.body_bytes} bytes")
        if (
            self._started is not call
            and call.body_length > self._limits.buffered_bytes
        ):
            self._start(call)

    def on_message_complete(self) -> None:
        """Ends the body of a call."""
        call = self._reading
        self._reading = None
        if call is None:
            return
        call.complete_body()
        if self._started is not call:
            self._start(call)

    # What the factory asks.

    @property
    def is_idle(self) -> bool:
        """True if no call is under way and none is being read."""
        is_busy = self._current is not None or bool(self._waiting)
        return not is_busy and not self.is_reading_head

    @property
    def is_reading_head(self) -> bool:
        """True if a call has begun to arrive and its head is not whole."""
        return self._is_in_head

    @property
    def received(self) -> int:
        """Count of the reads so far."""
        return self._received

    # What calls ask of the connection.

    def send(self, data: bytes) -> None:
        """Writes bytes to the client now, the rest when it takes them."""
        prompt_writer.write_now(self._tcp, data)

    def call_answered(
        self, call: inbound_call.InboundCall, keep_alive: bool
    ) -> None:
        """Starts the next pipelined call, or closes."""
        del call  # Calls are answered in order: it is the current one.
        self._current = None
        if not keep_alive:
            self.close()
            return
        if self._waiting:
            self._start_now(self._waiting.popleft())
        elif self._bad is not None:
            self._answer_bad()
        self._update_reading()

    def abort(self) -> None:
        """Closes at once without a proper end of the answer."""
        self._is_closing = True
        self._tcp.abortConnection()

    def close(self) -> None:
        """Closes once everything written has been taken."""
        self._is_closing = True
        self._tcp.unregisterProducer()
        self._tcp.loseConnection()

    def pause_body(self) -> None:
        """Stops reading while the receiver of a body is slow."""
        self._is_body_paused = True
        self._update_reading()

    def resume_body(self) -> None:
        """Reads again."""
        self._is_body_paused = False
        self._update_reading()

    # Backpressure of the client on its answer.

    def pauseProducing(self) -> None:  # noqa: N802
        """The client takes its answer slowly."""
        if self._current is not None and self._current.on_full is not None:
            self._current.on_full()

    def resumeProducing(self) -> None:  # noqa: N802
        """The client has taken what was written."""
        if self._current is not None and self._current.on_drained is not None:
            self._current.on_drained()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is gone; `connectionLost` follows."""

    def _make_head(self) -> request_head.RequestHead:
        head = request_head_reader.read_head(
            self._parser, self._target, self._headers, self._limits
        )
        if isinstance(head, bad_message.BadMessage):
            self._fail(head.status, head.detail)
        return cast(request_head.RequestHead, head)

    def _fail(self, status: int, detail: str) -> None:
        self._bad = bad_message.BadMessage(status, detail)
        raise ValueError(detail)

    def _start(self, call: inbound_call.InboundCall) -> None:
        self._started = call
        if self._current is None and not self._waiting:
            self._start_now(call)
        else:
            self._waiting.append(call)
            self._update_reading()

    def _start_now(self, call: inbound_call.InboundCall) -> None:
        self._current = call
        self._handler.handle_call(call)

    def _reject(self, bad: bad_message.BadMessage) -> None:
        self._bad = bad
        reading = self._reading
        self._reading = None
        if reading is not None and reading is self._current:
            # Part of the body may have reached a backend server.
            reading.client_lost()
            self._current = None
            if reading.is_head_sent:
                self.abort()
            else:
                self._answer_bad(answer_kind.AnswerKind.UNKNOWN)
        elif self._current is None and not self._waiting:
            self._answer_bad()

    def _answer_bad(
        self, kind: answer_kind.AnswerKind = answer_kind.AnswerKind.NOT_RUN
    ) -> None:
        bad = self._bad or bad_message.BadMessage(400, "message not valid")
        self._tcp.write(rejection.encode(bad, kind))
        self.close()

    def _update_reading(self) -> None:
        paused = self._is_body_paused or bool(self._waiting)
        if paused == self._is_paused or self._is_closing:
            return
        self._is_paused = paused
        if paused:
            self._tcp.pauseProducing()
        else:
            self._tcp.resumeProducing()
