"""Server side of an HTTP/1.1 connection."""

from typing import Any

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
import zope.interface

from cranberrymux.models import answer_kind
from cranberrymux.node.http import bad_message
from cranberrymux.node.http import call_handler
from cranberrymux.node.http import call_pipeline
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits
from cranberrymux.node.http import prompt_writer
from cranberrymux.node.http import read_budget
from cranberrymux.node.http import read_flow
from cranberrymux.node.http import read_pacer
from cranberrymux.node.http import rejection
from cranberrymux.node.http import request_head
from cranberrymux.node.http import request_reader

# Bytes behind a waiting call that are read and held, so that a client that
# leaves is seen. Beyond that, reading pauses.
READ_AHEAD_BYTES = 65_536
_END_OF_HEAD = b"\r\n\r\n"
_LINE_FEED = ord("\n")
_END_OF_HEAD_BYTES = len(_END_OF_HEAD)


@zope.interface.implementer(interfaces.IPushProducer)
class ServerConnection(protocol.Protocol):
    """Reads calls, passes them to a handler and sends the answers in order.

    While a pipelined call waits to be handled, nothing more is parsed.

    Attributes:
        is_draining: True if the connection closes after the answers in
            progress.
    """

    def __init__(
        self,
        handler: call_handler.CallHandler,
        message_limits: limits.Limits,
        may_run_ahead: call_pipeline.RunAheadPolicy = (
            call_pipeline.never_run_ahead
        ),
        budget: read_budget.ReadBudget | None = None,
        pacer: read_pacer.ReadPacer | None = None,
    ) -> None:
        """Creates a connection that Twisted has yet to connect.

        Args:
            handler: Answers the calls.
            message_limits: Limits on each request and on pipelining.
            may_run_ahead: Tells from a request's head whether it may be
                handled before the requests before it are answered.
            budget: Bounds what this and other connections hold together; None
                for one of this connection alone.
            pacer: Makes connections wait after costly reads; None for no such
                pauses.
        """
        self._pipeline = call_pipeline.CallPipeline(
            self, handler, message_limits.concurrent_calls, may_run_ahead
        )
        self._limits = message_limits
        self._budget = budget or read_budget.ReadBudget()
        self._reader = request_reader.RequestReader(message_limits, self)
        self._unparsed = b""
        self._is_parsing = False
        self._being_read: inbound_call.InboundCall | None = None
        self._dispatched: inbound_call.InboundCall | None = None
        self._rejected: bad_message.BadMessage | None = None
        self._read_count = 0
        self._is_closing = False
        self._flow = read_flow.ReadFlow(pacer, self._update_reading)
        # Bytes of a body that nobody takes, which are read before the close.
        self._unwanted_bytes = 0
        # What the budget knows of.
        self._held_bytes = 0
        self._tcp: Any = None
        self.is_draining = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disables Nagle's algorithm and registers for backpressure."""
        self._tcp = self.transport
        self._tcp.setTcpNoDelay(True)
        self._tcp.registerProducer(self, True)

    def set_limits(self, message_limits: limits.Limits) -> None:
        """Sets the limits on the size of each request that begins from now on.

        Those on pipelining stay.
        """
        self._limits = message_limits
        self._reader.set_limits(message_limits)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses what was read, unless a call waits to be handled."""
        self._read_count += 1
        if self._unwanted_bytes:
            self._discard(len(data))
            return
        if self._held_bytes or self._being_read is not None:
            self._read_on(data)
            return
        self._unparsed += data
        self._parse()
        if (
            self._unparsed
            or self._being_read is not None
            or self._reader.is_reading_head
        ):
            self._account()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tells every call that the client disconnected."""
        del reason  # The calls end alike, however the connection ended.
        self._is_closing = True
        self._being_read = None
        self._dispatched = None
        if self._held_bytes:
            self._budget.update(self, 0)
        self._flow.release()
        self._pipeline.disconnect()
        self._reader.release()

    # Implementation of `request_reader.RequestListener`.

    def head_read(self, head: request_head.RequestHead) -> None:
        """Creates the call; answers `Expect`."""
        if self._is_closing:
            return
        call = self._pipeline.add(head)
        self._being_read = call
        self._dispatched = None
        if b"expect" in head.headers.first and self._pipeline.first is call:
            call.send_interim(100, [])

    def body_read(self, part: bytes) -> None:
        """Adds a part of the body; starts a call too long to be buffered."""
        call = self._being_read
        if call is None:
            return
        call.add_body(part)
        if (
            self._dispatched is not call
            and call.body_length > self._limits.buffered_bytes
        ):
            # It is handled when its turn comes.
            self._dispatched = call
            self._pipeline.set_ready(call)
        if self._dispatched is call and self._limits.holds_waiting_bodies:
            call.hold_body()

    def request_read(self) -> None:
        """Ends the body, and starts the call unless it is being streamed."""
        call = self._being_read
        self._being_read = None
        if call is None:
            return
        if self._flow.is_body_paused:
            # Nobody resumes a body that has no more bytes to come.
            self.resume_body()
        call.complete_body()
        if self._dispatched is not call:
            self._pipeline.set_ready(call)

    # Implementation of `read_budget.Holder`.

    def shed(self) -> None:
        """Rejects the request that is read, of which nothing was passed on."""
        self._held_bytes = 0
        self._unparsed = b""
        self._reject(bad_message.BadMessage(503, "too much is read at once"))

    def _read_on(self, data: bytes) -> None:
        """Parses more of what is unfinished; pauses if it is costly.

        A read that brings the end of a request is not paused for: the time
        went into handling it.
        """
        messages = self._reader.messages
        began_s = self._flow.start_timing()
        self._unparsed += data
        self._parse()
        self._account()
        is_unfinished = self._held_bytes > 0 or self._being_read is not None
        is_same = is_unfinished and self._reader.messages == messages
        if is_same and self._flow.end_timing(began_s):
            self._update_reading()

    def _account(self) -> None:
        """Tells the budget how much is held."""
        held_bytes = len(self._unparsed) + self._reader.head_bytes
        reading = self._being_read
        if reading is not None and reading is not self._dispatched:
            held_bytes += reading.body_length
        if held_bytes != self._held_bytes:
            self._held_bytes = held_bytes
            self._budget.update(self, held_bytes)

    # State that the factory reads.

    @property
    def is_answering(self) -> bool:
        """True if a call is handled or waits."""
        return self._pipeline.is_answering

    @property
    def is_reading_head(self) -> bool:
        """True if part of a request has been read, but not its whole head."""
        return self._reader.is_reading_head

    @property
    def read_count(self) -> int:
        """Number of reads from the client so far."""
        return self._read_count

    # Implementation of `call_pipeline.PipelineOwner`.

    def send(self, data: bytes) -> None:
        """Writes to the client at once; the transport buffers the rest."""
        prompt_writer.write_now(self._tcp, data)

    def pipeline_advanced(self) -> None:
        """Parses what was held back, and answers a bad request."""
        if self._rejected is not None and self._pipeline.is_empty:
            self._send_rejection()
        if self._unparsed or self._flow.is_paused:
            self._parse()
        if self._held_bytes:
            self._account()

    def abort(self) -> None:
        """Closes at once, which leaves the answer truncated."""
        self._stop_taking_calls()
        self._tcp.abortConnection()

    def close(self) -> None:
        """Closes once everything written has been sent.

        An answer in progress whose end is that of the connection is aborted.
        The rest of a long body that was answered early is read before: a close
        with unread bytes resets the connection, and the client may lose the
        answer.
        """
        first = self._pipeline.first
        if first is not None and first.is_ended_by_close:
            self.abort()
            return
        is_body_due = self._being_read is not None and not self._is_closing
        body_left = self._reader.sized_body_left
        self._stop_taking_calls()
        self._tcp.unregisterProducer()
        if is_body_due and body_left > READ_AHEAD_BYTES:
            self._unwanted_bytes = body_left
            self._tcp.resumeProducing()
        else:
            self._tcp.loseConnection()

    def pause_body(self) -> None:
        """Stops reading until `resume_body`, for backpressure."""
        self._flow.is_body_paused = True
        self._update_reading()

    def resume_body(self) -> None:
        """Reads again, unless too much was read behind a waiting call."""
        self._flow.is_body_paused = False
        self._update_reading()

    # `IPushProducer`: backpressure of the client on its answer.

    def pauseProducing(self) -> None:  # noqa: N802
        """Tells the current call that the transport's send buffer is full.

        Until it is empty, no further calls are read: a client that sends
        requests and reads no answers would fill the memory with these.
        """
        self._flow.is_send_buffer_full = True
        self._update_reading()
        first = self._pipeline.first
        if first is not None and first.on_send_buffer_full is not None:
            first.on_send_buffer_full()

    def resumeProducing(self) -> None:  # noqa: N802
        """Tells the current call that the transport's send buffer is empty."""
        self._flow.is_send_buffer_full = False
        first = self._pipeline.first
        if first is not None and first.on_send_buffer_drained is not None:
            first.on_send_buffer_drained()
        if self._unparsed or self._flow.is_paused:
            self._parse()
        if self._held_bytes:
            self._account()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing, as `connectionLost` follows."""

    def _parse(self) -> None:
        """Feeds the parser until a call waits; rejects a bad request."""
        if self._is_parsing:
            return
        self._is_parsing = True
        unparsed = self._unparsed
        size = len(unparsed)
        start = 0
        try:
            while start < size and not self._pipeline.waiting:
                if self._is_closing or self._rejected is not None:
                    start = size
                    break
                if self._flow.is_send_buffer_full and self._being_read is None:
                    break
                # The parser cannot pause, so it gets no more than about one
                # request at a time: the rest of a sized body, or the bytes up
                # to the end of a head.
                if self._reader.sized_body_left:
                    end = start + self._reader.sized_body_left
                else:
                    end = unparsed.find(_END_OF_HEAD, start)
                    # Neither a head nor a body ends by a second empty line.
                    while end > 0 and unparsed[end - 1] == _LINE_FEED:
                        end = unparsed.find(_END_OF_HEAD, end + 1)
                    end = size if end < 0 else end + _END_OF_HEAD_BYTES
                part = unparsed[start:end]
                start = end
                bad = self._reader.feed(part)
                if bad is not None:
                    self._reject(bad)
        finally:
            self._unparsed = unparsed[start:]
            self._is_parsing = False
        if (
            self._flow.is_paused
            or self._flow.is_body_paused
            or self._flow.is_send_buffer_full
            or self._pipeline.waiting
        ):
            self._update_reading()

    def _discard(self, size_bytes: int) -> None:
        self._unwanted_bytes -= size_bytes
        if self._unwanted_bytes <= 0:
            self._unwanted_bytes = 0
            self._tcp.loseConnection()

    def _stop_taking_calls(self) -> None:
        """Ignores what the parser still reads from the data at hand."""
        self._is_closing = True
        self._being_read = None
        self._pipeline.close()

    def _reject(self, bad: bad_message.BadMessage) -> None:
        """Answers a bad request now, or after the calls before it."""
        if self._is_closing:
            return
        self._rejected = bad
        reading = self._being_read
        self._being_read = None
        kind = answer_kind.AnswerKind.NOT_RUN
        if reading is not None:
            is_handled = self._pipeline.is_handled(reading)
            self._pipeline.discard_last()
            if is_handled:
                # Part of the body may have reached a backend server, so the
                # answer cannot say that the call did not run.
                kind = answer_kind.AnswerKind.UNKNOWN
                reading.client_disconnected()
            if reading.is_head_sent:
                self.abort()
                return
        if self._pipeline.is_empty:
            self._send_rejection(kind)

    def _send_rejection(
        self, kind: answer_kind.AnswerKind = answer_kind.AnswerKind.NOT_RUN
    ) -> None:
        bad = self._rejected or bad_message.BadMessage(400, "message not valid")
        self._tcp.write(rejection.encode(bad, kind, self._reader.headers))
        self.close()

    def _update_reading(self) -> None:
        if self._is_closing:
            return
        is_held_up = (
            self._pipeline.waiting > 0 or self._flow.is_send_buffer_full
        )
        self._flow.update(
            self._tcp,
            is_behind=is_held_up and len(self._unparsed) >= READ_AHEAD_BYTES,
        )
