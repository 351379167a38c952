"""Client side of an HTTP/1.1 connection."""

from collections.abc import Callable
import math
from typing import Any

import httptools
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
import zope.interface

from cranberrymux.node.http import answer_limits
from cranberrymux.node.http import answer_reader
from cranberrymux.node.http import answer_sink
from cranberrymux.node.http import checked_close
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import prompt_writer
from cranberrymux.node.http import request_identity
from cranberrymux.node.http import unexpected_answer

_UnexpectedKind = unexpected_answer.UnexpectedKind


@zope.interface.implementer(interfaces.IPushProducer)
class ClientConnection(answer_reader.AnswerReader, checked_close.CheckedClose):
    """Sends one request at a time and passes its answer to a sink.

    Attributes:
        on_idle: Called when the connection can take another request. All
            that was read from it has been parsed by then.
        on_closed: Called when the connection has ended, for any reason.
        reusable_until_s: Reactor time until which the idle connection may be
            reused, as the receiver may close it soon after.
    """

    def __init__(
        self,
        limits: answer_limits.AnswerLimits = answer_limits.DEFAULT,
    ) -> None:
        """Creates a connection that Twisted has yet to connect.

        Args:
            limits: Limits on each answer.
        """
        super().__init__(limits)
        self.on_idle: Callable[[ClientConnection], None] | None = None
        self.on_closed: Callable[[ClientConnection], None] | None = None
        self.reusable_until_s = math.inf
        self._is_request_complete = False
        self._has_long_body = False
        self._has_read_answer_end = False
        self._is_paused = False
        self._tcp: Any = None

    @property
    def is_usable(self) -> bool:
        """True if no request is pending and the connection has not ended."""
        return not self._is_lost and self._sink is None

    def connectionMade(self) -> None:  # noqa: N802
        """Disables Nagle's algorithm and registers for backpressure."""
        self._tcp = self.transport
        self._tcp.setTcpNoDelay(True)
        self._tcp.registerProducer(self, True)

    def note_idle(self, now_s: float) -> None:
        """Notes that the connection is idle from now on.

        Args:
            now_s: Present reactor time.
        """
        self.reusable_until_s = now_s + self._reuse_time_s

    def send_request(
        self,
        data: bytes,
        is_complete: bool,
        is_head_request: bool,
        sink: answer_sink.AnswerSink,
        identity: request_identity.RequestIdentity | None = None,
    ) -> None:
        """Sends the beginning of a request, or all of it.

        Args:
            data: Encoded head and what is there of the encoded body.
            is_complete: True if `data` is the whole request; otherwise
                `send_body` and `end_body` follow.
            is_head_request: True if the method is HEAD, whose answer has no
                body.
            sink: Receives the answer.
            identity: Header that the answer repeats. Answers with another
                value are discarded, and those without it if it is required.
                None accepts every answer.
        """
        self._expect(identity, is_head_request, sink)
        self._is_request_complete = is_complete
        if not is_complete:
            self._has_long_body = True
            self.body_began()
        if not prompt_writer.write_now(self._tcp, data):
            self.is_send_failed = True

    def body_began(self) -> None:
        """Called when a body begins that is sent in parts."""

    def body_ended(self) -> None:
        """Called when such a body was taken, and the connection is kept."""

    def send_body(self, part: bytes) -> None:
        """Sends the next bytes of the body, which the caller has framed."""
        if not self._is_lost:
            self._tcp.write(part)

    def end_body(self) -> None:
        """Notes that the whole request was passed to `send_body`."""
        self._is_request_complete = True

    def cancel(self) -> None:
        """Abandons the request by aborting the connection."""
        self._sink = None
        self._is_lost = True
        self._tcp.abortConnection()

    def close(self) -> None:
        """Closes an idle connection."""
        self._is_lost = True
        self._tcp.unregisterProducer()
        self._tcp.loseConnection()

    def pause_answer(self) -> None:
        """Stops reading the pending answer, for backpressure."""
        if self._sink is not None:
            self._is_paused = True
            self._tcp.pauseProducing()

    def resume_answer(self) -> None:
        """Reads from the receiver again."""
        if self._is_paused and not self._is_lost:
            self._tcp.resumeProducing()
        self._is_paused = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser; aborts on bytes while no request is pending."""
        if self._is_lost:
            return
        if self._sink is None:
            self._report_unexpected(_UnexpectedKind.WHILE_IDLE)
            self.cancel()
            return
        self._has_read_answer_end = False
        size = len(data)
        self._budget.headers.note_read(size)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(lost_answer.LossReason.NOT_VALID, "protocol upgrade")
        except httptools.HttpParserCallbackError:
            # A defect of this program, not of the message: Twisted logs it
            # and closes the connection.
            raise
        except httptools.HttpParserError as failed:
            self._cancel_behind_answer()
            if not self._is_lost:
                self._fail(lost_answer.LossReason.NOT_VALID, str(failed))
        if not self._has_read_answer_end and (
            exceeded := self._budget.check_read(size)
        ):
            self._end_excess(exceeded)
        if self._has_read_answer_end and not self._is_lost:
            if self._is_paused:
                # The caller that paused may take the last part of its answer
                # later.
                self.resume_answer()
            if self.on_idle is not None:
                self.on_idle(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the pending answer, as complete only if the close ends it."""
        self._is_lost = True
        sink = self._sink
        self._sink = None
        if sink is not None and self._is_ended_by_close(reason):
            sink.answer_complete()
        elif sink is not None:
            loss = lost_answer.LossReason.CONNECTION_LOST
            if self._is_answer_started:
                loss = lost_answer.LossReason.TRUNCATED
            sink.answer_lost(
                lost_answer.LostAnswer(loss, True, reason.getErrorMessage())
            )
        if self.on_closed is not None:
            self.on_closed(self)
        self.release()

    # `IPushProducer`: backpressure of the receiver on the request's body.

    def pauseProducing(self) -> None:  # noqa: N802
        """Tells the sink that the transport's send buffer is full."""
        if self._sink is not None:
            self._sink.request_buffer_full()

    def resumeProducing(self) -> None:  # noqa: N802
        """Tells the sink that the transport's send buffer is empty."""
        if self._sink is not None:
            self._sink.request_buffer_drained()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing, as `connectionLost` follows."""

    def _is_ended_by_close(self, reason: failure.Failure) -> bool:
        """Returns whether an orderly close ends an answer without a length.

        It does not while a part of the request is unsent: a receiver that
        closes then resets the connection, if only after the close.
        """
        return (
            self._is_answer_started
            and self._is_close_delimited
            and isinstance(reason.value, error.ConnectionDone)
            and self._is_request_complete
            and not prompt_writer.has_unsent(self._tcp)
        )

    def _finish(self, is_kept: bool) -> None:
        sink = self._sink
        self._sink = None
        self._has_read_answer_end = True
        is_sent = self._is_request_complete and not prompt_writer.has_unsent(
            self._tcp
        )
        if not is_kept or not is_sent or self._is_head_request:
            # After an answer that precedes the end of its request, the
            # receiver would take the next request for the rest of that one.
            # Behind an answer to a HEAD, nobody can tell whether a second one
            # has a body.
            self.close()
        elif self._has_long_body:
            self._has_long_body = False
            self.body_ended()
        if sink is not None:
            sink.answer_complete()
