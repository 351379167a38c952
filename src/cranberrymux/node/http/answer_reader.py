"""Reads the answers to the requests of one connection."""

from collections.abc import Callable
import math

import httptools

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
from cranberrymux.node.http import request_identity
from cranberrymux.node.http import unexpected_answer

_UnexpectedKind = unexpected_answer.UnexpectedKind


class AnswerReader:
    """Parses what comes and passes the pending request's answer to its sink.

    A connection derives from it, writes the requests and owns the transport.

    Attributes:
        accepts_close_delimited: True if the end of the connection may end an
            answer. Otherwise such an answer is lost with `NO_LENGTH`.
        on_unexpected: Called with each occurrence of bytes that do not answer
            the pending request.
        on_header: Callback of the parser for each header and trailer.
    """

    def __init__(self, limits: answer_limits.AnswerLimits) -> None:
        """Starts without a pending request.

        Args:
            limits: Limits on each answer.
        """
        self._budget = answer_budget.AnswerBudget(limits)
        self._matcher = answer_matcher.AnswerMatcher()
        self.accepts_close_delimited = False
        self.on_unexpected: (
            Callable[[unexpected_answer.UnexpectedAnswer], None] | None
        ) = None
        self.on_header = self._budget.headers.add
        self._parser = httptools.HttpResponseParser(self)
        self._sink: answer_sink.AnswerSink | None = None
        self._reuse_time_s = math.inf
        self._reason_phrase = b""
        self._headers = headers.Headers([])
        self._is_head_request = False
        self._is_interim = False
        self._is_answer_started = False
        self._is_lost = False
        self._is_filtered_out = False
        self._is_close_delimited = False

    def has_sent(
        self, identity: request_identity.RequestIdentity | None
    ) -> bool:
        """Returns whether a request is among the last that were sent here."""
        return self._matcher.has_sent(identity)

    def release(self) -> None:
        """Frees what was read, once the connection has ended.

        The parser refers to this reader and this to the parser: a reference
        cycle, which only the garbage collector would free.
        """
        del self._parser

    def cancel(self) -> None:
        """Abandons the request by aborting the connection."""
        raise NotImplementedError

    def _finish(self, is_kept: bool) -> None:
        """Ends the request, whose answer is whole.

        Args:
            is_kept: True if the receiver lets the connection stay open.
        """
        raise NotImplementedError

    def _expect(
        self,
        identity: request_identity.RequestIdentity | None,
        is_head_request: bool,
        sink: answer_sink.AnswerSink,
    ) -> None:
        """Expects the answer to a request from now on."""
        self._sink = sink
        self._matcher.expect(identity)
        self._is_head_request = is_head_request
        self._is_answer_started = False
        self._is_interim = False
        self._is_close_delimited = False
        self._budget.begin()
        self._budget.interim_answers = 0

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
        if status < http_status.MINIMUM_FINAL:
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
        if status >= http_status.MINIMUM_ERROR:
            self._matcher.note_failure()
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

    def _pass_interim_answer(self, status: int) -> None:
        if status < http_status.MINIMUM:
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
