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

from cranberrymux.models import http_status
from cranberrymux.node.http import answer_budget
from cranberrymux.node.http import answer_framing
from cranberrymux.node.http import answer_limits
from cranberrymux.node.http import answer_matcher
from cranberrymux.node.http import answer_sink
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers
from cranberrymux.node.http import keep_alive
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import prompt_writer
from cranberrymux.node.http import request_identity
from cranberrymux.node.http import unexpected_answer

_UnexpectedKind = unexpected_answer.UnexpectedKind
_LOWEST_STATUS = 100
_LOWEST_FINAL_STATUS = 200


@zope.interface.implementer(interfaces.IPushProducer)
class ClientConnection(protocol.Protocol):
    """Sends one request at a time and passes its answer to a sink.

    Attributes:
        on_idle: Called when the connection can take another request. All
            that was read from it has been parsed by then.
        on_closed: Called when the connection has ended, for any reason.
        accepts_close_delimited: True if the end of the connection may end an
            answer. Otherwise such an answer is lost with `NO_LENGTH`.
        on_unexpected: Called with each occurrence of bytes that do not answer
            the pending request.
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
        self._budget = answer_budget.AnswerBudget(limits)
        self._matcher = answer_matcher.AnswerMatcher()
        self.on_idle: Callable[[ClientConnection], None] | None = None
        self.on_closed: Callable[[ClientConnection], None] | None = None
        self.accepts_close_delimited = False
        self.on_unexpected: (
            Callable[[unexpected_answer.UnexpectedAnswer], None] | None
        ) = None
        self.reusable_until_s = math.inf
        self._reuse_time_s = math.inf
        self.on_header = self._budget.headers.add
        self._parser = httptools.HttpResponseParser(self)
        self._sink: answer_sink.AnswerSink | None = None
        self._reason_phrase = b""
        self._headers = headers.Headers([])
        self._is_head_request = False
        self._is_request_complete = False
        self._is_interim = False
        self._is_answer_started = False
        self._is_lost = False
        self._is_filtered_out = False
        self._is_close_delimited = False
        self._has_read_answer_end = False
        self._is_paused = False
        self._tcp: Any = None

    @property
    def is_usable(self) -> bool:
        """True if no request is pending and the connection has not ended."""
        return not self._is_lost and self._sink is None

    def has_sent(
        self, identity: request_identity.RequestIdentity | None
    ) -> bool:
        """Returns whether a request is among the last that were sent here."""
        return self._matcher.has_sent(identity)

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
        self._sink = sink
        self._matcher.expect(identity)
        self._is_head_request = is_head_request
        self._is_request_complete = is_complete
        self._is_answer_started = False
        self._is_interim = False
        self._is_close_delimited = False
        self._budget.begin()
        self._budget.interim_answers = 0
        prompt_writer.write_now(self._tcp, data)

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

    # Callbacks of `httptools.HttpResponseParser`.

    def on_message_begin(self) -> None:
        """Prepares for an answer; aborts if no request is pending."""
        self._budget.begin_answer()
        self._is_filtered_out = False
        self._reason_phrase = b""
        if self._sink is None:
            self._cancel_behind_answer()

    def on_status(self, part: bytes) -> None:
        """Collects a part of the reason phrase."""
        self._reason_phrase += part

    def on_headers_complete(self) -> None:
        """Passes the head to the sink, unless it answers another request."""
        taken = self._budget.headers.take()
        if taken is None:
            self._end_excess(self._budget.check_headers())
            return
        self._headers = taken
        first = taken.first
        if b"keep-alive" in first:
            self._reuse_time_s = keep_alive.parse_reuse_time_s(
                first[b"keep-alive"]
            )
        sink = self._sink
        if sink is None:
            return
        status = self._parser.get_status_code()
        if status < _LOWEST_FINAL_STATUS:
            self._pass_interim_answer(status)
            return
        self._take_final_head(sink, status)

    def _take_final_head(
        self, sink: answer_sink.AnswerSink, status: int
    ) -> None:
        received = self._headers
        # A sender that breaks off within a head and starts the next answer
        # behind it has the status of one read beside the id of the other.
        is_joined = (
            len(received) > len(received.first)
            and self._matcher.has_several_ids(received)
        ) or (
            status >= http_status.MINIMUM_ERROR
            and answer_framing.holds_status_line(self._reason_phrase, received)
        )
        if is_joined:
            self._fail(
                lost_answer.LossReason.NOT_VALID,
                "the heads of two answers run together",
            )
            return
        mismatch = self._matcher.find_mismatch(self._headers)
        self._is_filtered_out = mismatch is not None
        if mismatch is not None:
            self._report(mismatch)
            self._check_end_can_be_found(status)
            return
        if (
            b"transfer-encoding" in self._headers.first
            and not answer_framing.has_plain_coding(self._headers)
        ):
            self._fail(
                lost_answer.LossReason.NOT_VALID,
                "the answer has a transfer coding other than chunked",
            )
            return
        head = answer_framing.make_head(
            status, self._headers, is_head_request=self._is_head_request
        )
        is_close_delimited = head.mode is body_mode.BodyMode.UNTIL_CLOSE
        self._is_close_delimited = is_close_delimited
        if is_close_delimited and not self.accepts_close_delimited:
            self._fail(
                lost_answer.LossReason.NO_LENGTH,
                "an answer without a length cannot be proven whole",
            )
            return
        self._is_answer_started = True
        sink.answer_started(head)
        if self._is_head_request:
            self._finish(self._parser.should_keep_alive())

    def on_body(self, part: bytes) -> None:
        """Passes a part of the body to the sink."""
        is_discarded = self._is_filtered_out
        if exceeded := self._budget.check_body(
            len(part), is_discarded=is_discarded
        ):
            self._end_excess(exceeded)
        if is_discarded:
            return
        if self._sink is None:
            self._cancel_behind_answer()
        elif self._is_answer_started:
            self._sink.answer_part(part)

    def on_message_complete(self) -> None:
        """Ends the answer, unless it was filtered out or was a 1xx answer."""
        if self._budget.headers.pairs and (
            exceeded := self._budget.check_headers()
        ):
            self._end_excess(exceeded)
        if self._is_filtered_out:
            self._is_filtered_out = False
            return
        if self._is_interim:
            self._is_interim = False
            return
        if self._sink is not None and self._is_answer_started:
            self._finish(self._parser.should_keep_alive())

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

    def _pass_interim_answer(self, status: int) -> None:
        if status < _LOWEST_STATUS:
            self._fail(lost_answer.LossReason.NOT_VALID, f"status {status:03d}")
            return
        self._is_interim = True
        if exceeded := self._budget.note_interim_answer():
            self._end_excess(exceeded)
        if self._sink is not None:
            self._sink.answer_interim(status, self._headers)

    def _check_end_can_be_found(self, status: int) -> None:
        """Fails the request if the end of a discarded answer is not known.

        The pending request's answer could not be found behind it.
        """
        mode = answer_framing.make_head(
            status, self._headers, is_head_request=self._is_head_request
        ).mode
        if (
            mode is body_mode.BodyMode.UNTIL_CLOSE
            or not answer_framing.has_plain_coding(self._headers)
            # An answer to a HEAD has no body, but this may be another one.
            or self._is_head_request
        ):
            self._fail(
                lost_answer.LossReason.NOT_VALID,
                "an answer to another request came, whose end is not known",
            )

    def _report_unexpected(
        self, kind: unexpected_answer.UnexpectedKind
    ) -> None:
        request_id = b"" if self._sink is None else self._matcher.request_id
        self._report(unexpected_answer.UnexpectedAnswer(kind, request_id, b""))

    def _report(self, unexpected: unexpected_answer.UnexpectedAnswer) -> None:
        if self.on_unexpected is not None:
            self.on_unexpected(unexpected)

    def _is_ended_by_close(self, reason: failure.Failure) -> bool:
        """Returns whether an orderly close ends an answer without a length."""
        is_orderly = isinstance(reason.value, error.ConnectionDone)
        return (
            self._is_answer_started and self._is_close_delimited and is_orderly
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
        if sink is not None:
            sink.answer_complete()

    def _cancel_behind_answer(self) -> None:
        """Aborts if the parser has read on behind a complete answer."""
        if self._sink is None and not self._is_lost:
            self._report_unexpected(_UnexpectedKind.BEHIND_ANSWER)
            self.cancel()

    def _end_excess(self, exceeded: str) -> None:
        """Ends the request at an answer that may have no end.

        Args:
            exceeded: Which limit it exceeds.
        """
        if self._sink is not None:
            self._report_unexpected(_UnexpectedKind.TOO_LONG)
            self._fail(lost_answer.LossReason.NOT_VALID, exceeded)

    def _fail(self, reason: lost_answer.LossReason, detail: str) -> None:
        sink = self._sink
        self.cancel()
        if sink is not None:
            sink.answer_lost(lost_answer.LostAnswer(reason, True, detail))
