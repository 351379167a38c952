"""The client's side of an HTTP/1.1 connection."""

from collections.abc import Callable
import math
from typing import Any

import httptools
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
import zope.interface

from cranberrymux.node.http import answer_head
from cranberrymux.node.http import answer_sink
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers
from cranberrymux.node.http import keep_alive
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import prompt_writer


@zope.interface.implementer(interfaces.IPushProducer)
class ClientConnection(protocol.Protocol):
    """Carries one request at a time and reads its answer.

    Attributes:
        on_idle: Called when the connection can take another request.
        on_closed: Called when the connection is gone.
        accepts_unframed: True if an answer may end with its connection.
        answer_filter: Tells whether an answer, by its headers, belongs to the
            request under way; others are dropped. None takes all.
        kept_until_s: When the receiver may close it, if it stays idle.
    """

    def __init__(self) -> None:
        """Makes an idle connection; twisted connects it."""
        self.on_idle: Callable[[ClientConnection], None] | None = None
        self.on_closed: Callable[[ClientConnection], None] | None = None
        self.accepts_unframed = False
        self.answer_filter: Callable[[headers.HeaderList], bool] | None = None
        self.kept_until_s = math.inf
        self._kept_s = math.inf
        self._parser = httptools.HttpResponseParser(self)
        self._sink: answer_sink.AnswerSink | None = None
        self._headers: headers.HeaderList = []
        self._is_head_request = False
        self._is_request_complete = False
        self._is_answer_complete = False
        self._is_interim = False
        self._is_started = False
        self._is_lost = False
        self._is_skipped = False
        self._is_unframed = False
        self._tcp: Any = None

    @property
    def is_usable(self) -> bool:
        """True if the connection is open and idle."""
        return not self._is_lost and self._sink is None

    def connectionMade(self) -> None:  # noqa: N802
        """Registers for backpressure of request bodies."""
        self._tcp = self.transport
        self._tcp.setTcpNoDelay(True)
        self._tcp.registerProducer(self, True)

    def note_idle(self, now_s: float) -> None:
        """Takes note that it is idle from now on."""
        self.kept_until_s = now_s + self._kept_s

    def send_request(
        self,
        data: bytes,
        is_complete: bool,
        is_head_request: bool,
        sink: answer_sink.AnswerSink,
    ) -> None:
        """Sends a request's head and the body as far as it is there."""
        self._sink = sink
        self._headers = []
        self._is_head_request = is_head_request
        self._is_request_complete = is_complete
        self._is_answer_complete = False
        self._is_started = False
        self._is_interim = False
        self._is_unframed = False
        prompt_writer.write_now(self._tcp, data)

    def send_body(self, part: bytes) -> None:
        """Sends the next bytes of the request as they go on the wire."""
        if not self._is_lost:
            self._tcp.write(part)

    def end_body(self) -> None:
        """Takes note that the request has been sent whole."""
        self._is_request_complete = True
        if self._is_answer_complete:
            self._release()

    def cancel(self) -> None:
        """Drops the request; the receiver sees the connection close."""
        self._sink = None
        self._is_lost = True
        self._tcp.abortConnection()

    def close(self) -> None:
        """Closes an idle connection."""
        self._is_lost = True
        self._tcp.unregisterProducer()
        self._tcp.loseConnection()

    def pause_answer(self) -> None:
        """Stops reading while the caller takes the answer slowly."""
        if not self._is_lost:
            self._tcp.pauseProducing()

    def resume_answer(self) -> None:
        """Reads again."""
        if not self._is_lost:
            self._tcp.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser; bytes that nobody asked for end the connection."""
        if self._is_lost:
            return
        if self._sink is None:
            self.cancel()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._lose(lost_answer.LossReason.NOT_VALID, "protocol upgrade")
        except httptools.HttpParserCallbackError:
            # A fault of ours, not of the message: Twisted logs it and closes.
            raise
        except httptools.HttpParserError as failed:
            if not self._is_lost:
                self._lose(lost_answer.LossReason.NOT_VALID, str(failed))

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tells the sink, if an answer was awaited."""
        self._is_lost = True
        sink = self._sink
        self._sink = None
        if sink is not None and self._is_whole(reason):
            sink.answer_complete()
        elif sink is not None:
            loss = lost_answer.LossReason.CONNECTION_LOST
            if self._is_started:
                loss = lost_answer.LossReason.TRUNCATED
            sink.answer_lost(
                lost_answer.LostAnswer(loss, True, reason.getErrorMessage())
            )
        if self.on_closed is not None:
            self.on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a new message."""
        self._headers = []
        self._is_skipped = False
        if self._sink is None and not self._is_lost:
            # What follows a whole answer belongs to no request.
            self.cancel()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hands the head on."""
        said = headers.find(self._headers, b"keep-alive")
        if said is not None:
            self._kept_s = keep_alive.read_kept_s(said)
        sink = self._sink
        if sink is None:
            return
        status = self._parser.get_status_code()
        if self.answer_filter is not None and status >= 200:
            self._is_skipped = not self.answer_filter(self._headers)
            if self._is_skipped:
                return
        self._is_interim = 100 <= status < 200
        if self._is_interim:
            sink.answer_interim(status, self._headers)
            return
        head = self._make_head(status)
        is_unframed = head.mode is body_mode.BodyMode.UNTIL_CLOSE
        self._is_unframed = is_unframed
        if is_unframed and not self.accepts_unframed:
            self._lose(
                lost_answer.LossReason.NO_LENGTH,
                "an answer without a length cannot be proven whole",
            )
            return
        self._is_started = True
        sink.answer_started(head)
        if self._is_head_request:
            self._finish(self._parser.should_keep_alive())
            # The parser would wait for the body that HEAD leaves out.
            self._parser = httptools.HttpResponseParser(self)

    def on_body(self, part: bytes) -> None:
        """Hands a part of the body on."""
        if self._is_skipped:
            return
        if self._sink is not None and self._is_started:
            self._sink.answer_part(part)

    def on_message_complete(self) -> None:
        """Ends the answer."""
        if self._is_skipped:
            self._is_skipped = False
            return
        if self._is_interim:
            self._is_interim = False
            return
        if self._sink is not None and self._is_started:
            self._finish(self._parser.should_keep_alive())

    # Backpressure of the receiver on the request's body.

    def pauseProducing(self) -> None:  # noqa: N802
        """The receiver takes the body slowly."""
        if self._sink is not None:
            self._sink.request_full()

    def resumeProducing(self) -> None:  # noqa: N802
        """The receiver has taken what was written."""
        if self._sink is not None:
            self._sink.request_drained()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is gone; `connectionLost` follows."""

    def _make_head(self, status: int) -> answer_head.AnswerHead:
        length = headers.find(self._headers, b"content-length")
        coding = headers.find(self._headers, b"transfer-encoding")
        mode = body_mode.BodyMode.UNTIL_CLOSE
        size = 0
        if coding is not None and coding.lower().endswith(b"chunked"):
            mode = body_mode.BodyMode.CHUNKED
        elif length is not None and length.isdigit():
            mode = body_mode.BodyMode.SIZED
            size = int(length)
        elif self._is_head_request or status in (204, 304):
            mode = body_mode.BodyMode.NONE
        return answer_head.AnswerHead(status, self._headers, mode, size)

    def _is_whole(self, reason: failure.Failure) -> bool:
        """True if an answer without a length ends with this end."""
        is_orderly = isinstance(reason.value, error.ConnectionDone)
        return self._is_started and self._is_unframed and is_orderly

    def _finish(self, is_kept: bool) -> None:
        sink = self._sink
        self._sink = None
        self._is_answer_complete = True
        is_sent = self._is_request_complete and not prompt_writer.has_unsent(
            self._tcp
        )
        if not is_kept or not is_sent:
            # An answer that came before the end of the request leaves the
            # connection in no state for another one.
            self.close()
        if sink is not None:
            sink.answer_complete()
        if self._is_lost:
            return
        self._release()

    def _release(self) -> None:
        if self.on_idle is not None:
            self.on_idle(self)

    def _lose(self, reason: lost_answer.LossReason, detail: str) -> None:
        sink = self._sink
        self.cancel()
        if sink is not None:
            sink.answer_lost(lost_answer.LostAnswer(reason, True, detail))
