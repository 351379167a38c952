"""The answers of one call to the client and to the resends that joined it."""

from collections.abc import Callable

from cranberrymux.decisions.admission import outcome
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.node import claimed_call
from cranberrymux.node import environment
from cranberrymux.node import outcome_record
from cranberrymux.node import refusal_answer
from cranberrymux.node import request_encoding
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call

_Kind = answer_kind.AnswerKind
_Reason = refusal_reason.RefusalReason
_SERVER_ERROR = 500
_SHED_STATUS = 503
_PER_MILLE = 1000


def classify(
    head: answer_head.AnswerHead, is_dependency: bool
) -> outcome.Outcome:
    """Returns what admission learns from an answer of the backend server.

    Args:
        head: Head of the answer.
        is_dependency: True if a call that it made for this one failed.
    """
    if is_dependency and head.status >= _SERVER_ERROR:
        # The failure says nothing of this backend server.
        return outcome.Outcome.CANCELLED
    if head.status == _SHED_STATUS:
        return outcome.Outcome.OVERLOADED
    if head.status >= _SERVER_ERROR:
        return outcome.Outcome.FAILED
    return outcome.Outcome.OK


class IngressAnswers:
    """Whoever waits for the answer of one call."""

    def __init__(
        self,
        node: environment.Environment,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
        on_abandoned: Callable[[], None],
    ) -> None:
        """Starts with the first caller.

        Args:
            node: Tasks and tables of the node.
            call: The call as it came first.
            context: Its context.
            on_abandoned: Called when the last caller has gone.
        """
        self._node = node
        self._context = context
        self._on_abandoned = on_abandoned
        self._began_s = node.clock.now_s()
        self._is_streaming = False
        self._waiters: list[inbound_call.InboundCall] = []
        self._add(call)

    def join(self, call: inbound_call.InboundCall) -> None:
        """Adds a resend, which gets the same answer."""
        if not self._is_streaming:
            self._add(call)
            return
        self._refuse_one(
            call,
            refusal.Refusal(
                _Kind.UNKNOWN,
                _Reason.ALREADY_RAN,
                "the answer is on its way to an earlier attempt",
                self._node.retry_after_ms(),
            ),
            0,
        )

    def pass_on(
        self,
        head: answer_head.AnswerHead,
        body: bytes,
        unspent: int,
        is_dependency: bool,
    ) -> None:
        """Sends a whole answer of the backend server to every caller."""
        answer_headers = self._annotate(head, unspent)
        if is_dependency and head.status >= _SERVER_ERROR:
            answer_headers.append((b"cranberrymux-dependency-failed", b"1"))
        for call in self._take_all():
            if call.head.method == b"HEAD":
                call.start_answer(head._replace(headers=answer_headers))
                call.finish()
            else:
                call.answer(head.status, answer_headers, body)

    def replay(self, stored: claimed_call.StoredAnswer) -> None:
        """Sends the kept answer of an earlier run to every caller."""
        kind = _Kind.FAILED if stored.status >= _SERVER_ERROR else _Kind.DONE
        self._record(kind)
        replayed: headers.HeaderList = [
            (b"cranberrymux-answer", kind.value.encode()),
            (b"cranberrymux-replayed", b"1"),
        ]
        self._append_state(replayed, self._context.retry_budget)
        if stored.body is None:
            replayed.append((b"cranberrymux-body-dropped", b"1"))
        for call in self._take_all():
            call.answer(stored.status, replayed, stored.body or b"")

    def refuse(self, one: refusal.Refusal, unspent: int) -> None:
        """Sends an answer of the node itself to every caller."""
        self._record(one.kind, one.reason)
        for call in self._take_all():
            self._refuse_one(call, one, unspent)

    def start_streaming(
        self, head: answer_head.AnswerHead
    ) -> headers.HeaderList:
        """Returns the headers of a long answer, which one caller gets."""
        self._is_streaming = True
        others = self._waiters[1:]
        del self._waiters[1:]
        for call in others:
            self.join(call)
        return self._annotate(head, 0)

    def finish_streaming(self) -> None:
        """Ends a long answer."""
        for call in self._take_all():
            call.finish()

    def abort(self) -> None:
        """Cuts a long answer, so that nobody takes it for whole."""
        for call in self._take_all():
            call.abort()

    def _add(self, call: inbound_call.InboundCall) -> None:
        self._waiters.append(call)
        call.on_cancel = lambda: self._leave(call)

    def _leave(self, call: inbound_call.InboundCall) -> None:
        if call in self._waiters:
            self._waiters.remove(call)
        if not self._waiters:
            self._on_abandoned()

    def _take_all(self) -> list[inbound_call.InboundCall]:
        taken = self._waiters
        self._waiters = []
        return taken

    def _annotate(
        self, head: answer_head.AnswerHead, unspent: int
    ) -> headers.HeaderList:
        told = headers.find(head.headers, b"cranberrymux-answer")
        kind = _Kind.FAILED if head.status >= _SERVER_ERROR else _Kind.DONE
        if told == _Kind.NOT_RUN.value.encode():
            kind = _Kind.NOT_RUN
        self._record(kind)
        answer_headers = [
            pair
            for pair in headers.forwardable(head.headers)
            if pair[0] not in request_encoding.ANSWER_HEADERS
        ]
        answer_headers.append((b"cranberrymux-answer", kind.value.encode()))
        self._append_state(answer_headers, unspent)
        return answer_headers

    def _append_state(
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

    def _refuse_one(
        self, call: inbound_call.InboundCall, one: refusal.Refusal, unspent: int
    ) -> None:
        encoded = refusal_answer.encode_refusal(one, self._context.request_id)
        # The encoded refusal names the request already.
        state: headers.HeaderList = []
        self._append_state(state, unspent)
        call.answer(encoded.status, encoded.headers + state[1:], encoded.body)

    def _record(
        self, kind: answer_kind.AnswerKind, reason: _Reason | None = None
    ) -> None:
        announced = self._node.endpoint.record
        if announced is None:
            return
        outcome_record.record(
            self._node,
            announced.service,
            self._context.class_rank,
            self._began_s,
            kind,
            reason,
        )
