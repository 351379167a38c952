"""Answers one call at the ingress port and the resends that joined it."""

from collections.abc import Callable

from cranberrymux.decisions.admission import outcome
from cranberrymux.models import answer_kind
from cranberrymux.models import http_status
from cranberrymux.models import refusal as refusal_module
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.node import backend_refusal
from cranberrymux.node import claimed_call
from cranberrymux.node import environment
from cranberrymux.node import outbound_attempt
from cranberrymux.node import outcome_record
from cranberrymux.node import refusal_answer
from cranberrymux.node import request_encoding
from cranberrymux.node import whole_answer
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call

_Kind = answer_kind.AnswerKind
_Reason = refusal_reason.RefusalReason
_OVERLOADED_STATUS = 503
_PER_MILLE = 1000


def classify(
    head: answer_head.AnswerHead, has_failed_child: bool
) -> outcome.Outcome:
    """Returns the outcome that an answer of the backend server counts as.

    Args:
        head: Head of the answer.
        has_failed_child: True if a child call of the call failed.
    """
    if has_failed_child and head.status >= http_status.MINIMUM_SERVER_ERROR:
        # The child call may be the cause, so the latency and the failure do not
        # count against this backend server.
        return outcome.Outcome.CANCELLED
    if head.status == _OVERLOADED_STATUS:
        return outcome.Outcome.OVERLOADED
    if head.status >= http_status.MINIMUM_SERVER_ERROR:
        return outcome.Outcome.FAILED
    return outcome.Outcome.OK


class IngressAnswers:
    """Sends the answer of one call to all callers that wait for it.

    It also records the answer in the outcomes and metrics.
    """

    def __init__(
        self,
        node: environment.Environment,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
        on_abandoned: Callable[[], None],
    ) -> None:
        """Starts with the first attempt as the only waiting caller.

        Args:
            node: Tasks and tables of the node.
            call: The first attempt of the call.
            context: Context of the call.
            on_abandoned: Called when no caller waits any more.
        """
        self._node = node
        self._context = context
        self._on_abandoned = on_abandoned
        self._arrived_s = node.clock.now_s()
        self._is_streaming = False
        self._waiting_calls: list[inbound_call.InboundCall] = []
        self._add(call)

    def join(self, call: inbound_call.InboundCall) -> None:
        """Adds a resend, or refuses it if the answer is already streamed."""
        if not self._is_streaming:
            self._add(call)
            return
        self._refuse_call(
            call,
            refusal_module.Refusal(
                _Kind.UNKNOWN,
                _Reason.ALREADY_RAN,
                "the answer is being streamed to an earlier attempt",
                self._node.draw_retry_after_ms(),
            ),
            0,
        )

    def forward(
        self,
        head: answer_head.AnswerHead,
        body: bytes,
        unspent: int,
        has_failed_child: bool,
    ) -> None:
        """Sends a complete answer of the backend server to every caller.

        Args:
            head: Head of the answer.
            body: Body of the answer.
            unspent: Retries of the call's budget that were not spent.
            has_failed_child: True if a child call of the call failed.
        """
        answer_headers = self._annotate(head, unspent)
        if has_failed_child and head.status >= http_status.MINIMUM_SERVER_ERROR:
            answer_headers.append((b"cranberrymux-dependency-failed", b"1"))
        forwarded = head._replace(headers=answer_headers)
        for call in self._take_all():
            whole_answer.send(call, forwarded, body)

    def replay(self, stored: claimed_call.StoredAnswer) -> None:
        """Sends the stored answer of an earlier run to every caller."""
        kind = (
            _Kind.FAILED
            if stored.status >= http_status.MINIMUM_SERVER_ERROR
            else _Kind.DONE
        )
        self._record(kind)
        replayed: headers.HeaderList = [
            (b"cranberrymux-answer", kind.value.encode()),
            (b"cranberrymux-replayed", b"1"),
        ]
        self._append_node_headers(replayed, self._context.retry_budget)
        if stored.body is None:
            replayed.append((b"cranberrymux-body-dropped", b"1"))
        for call in self._take_all():
            call.answer(stored.status, replayed, stored.body or b"")

    def refuse(self, refusal: refusal_module.Refusal, unspent: int) -> None:
        """Sends a refusal to every caller.

        Args:
            refusal: The refusal.
            unspent: Retries of the call's budget that were not spent.
        """
        self._record(refusal.kind, refusal.reason)
        for call in self._take_all():
            self._refuse_call(call, refusal, unspent)

    def start_streaming(
        self,
        attempt: outbound_attempt.OutboundAttempt,
        head: answer_head.AnswerHead,
        body: bytes,
    ) -> None:
        """Sends the head and the first bytes of a streamed answer.

        Only the caller that has waited longest gets the answer; the others are
        refused.

        Args:
            attempt: Reads the answer.
            head: Head of the answer.
            body: First bytes of its body.
        """
        self._is_streaming = True
        others = self._waiting_calls[1:]
        del self._waiting_calls[1:]
        for call in others:
            self.join(call)
        annotated = head._replace(headers=self._annotate(head, 0))
        for call in self._waiting_calls:
            attempt.stream_to(call, annotated, body)

    def send_part(self, part: bytes) -> None:
        """Sends the next bytes of a streamed answer."""
        for call in self._waiting_calls:
            call.send_body(part)

    def finish_streaming(self) -> None:
        """Ends a streamed answer that is complete."""
        for call in self._take_all():
            call.finish()

    def abort(self) -> None:
        """Cuts a streamed answer, so that no caller takes it as complete."""
        for call in self._take_all():
            call.abort()

    def _add(self, call: inbound_call.InboundCall) -> None:
        self._waiting_calls.append(call)
        call.on_cancel = lambda: self._remove(call)

    def _remove(self, call: inbound_call.InboundCall) -> None:
        if call in self._waiting_calls:
            self._waiting_calls.remove(call)
        if not self._waiting_calls:
            self._on_abandoned()

    def _take_all(self) -> list[inbound_call.InboundCall]:
        """Removes and returns the callers that wait."""
        taken = self._waiting_calls
        self._waiting_calls = []
        return taken

    def _annotate(
        self, head: answer_head.AnswerHead, unspent: int
    ) -> headers.HeaderList:
        """Records an answer and returns its headers for the caller."""
        kind = (
            _Kind.FAILED
            if head.status >= http_status.MINIMUM_SERVER_ERROR
            else _Kind.DONE
        )
        if backend_refusal.is_refusal(head):
            kind = _Kind.NOT_RUN
        self._record(kind)
        answer_headers = [
            pair
            for pair in headers.forwardable(head.headers)
            if pair[0] not in request_encoding.ANSWER_HEADERS
        ]
        answer_headers.append((b"cranberrymux-answer", kind.value.encode()))
        self._append_node_headers(answer_headers, unspent)
        return answer_headers

    def _append_node_headers(
        self, answer_headers: headers.HeaderList, unspent: int
    ) -> None:
        admission = self._node.admission
        load = int(admission.load * _PER_MILLE)
        answer_headers += (
            (b"cranberrymux-request-id", self._context.request_id.encode()),
            (b"cranberrymux-level", b"%d" % admission.level),
            (b"cranberrymux-load", b"%d" % load),
            (b"cranberrymux-configuration", b"%d" % self._node.policy.version),
            (b"cranberrymux-unspent", b"%d" % unspent),
        )

    def _refuse_call(
        self,
        call: inbound_call.InboundCall,
        refusal: refusal_module.Refusal,
        unspent: int,
    ) -> None:
        encoded = refusal_answer.encode_refusal(
            refusal, self._context.request_id
        )
        # The encoded refusal has the request id, the first of these, already.
        node_headers: headers.HeaderList = []
        self._append_node_headers(node_headers, unspent)
        call.answer(
            encoded.status, encoded.headers + node_headers[1:], encoded.body
        )

    def _record(
        self, kind: answer_kind.AnswerKind, reason: _Reason | None = None
    ) -> None:
        record = self._node.endpoint.record
        if record is None:
            return
        outcome_record.record(
            self._node,
            record.service,
            self._context.class_rank,
            self._arrived_s,
            kind,
            reason,
        )
