"""A request for the backend server beside this node."""

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import attempt as attempt_module
from cranberrymux.gateway import exit_owner
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import outgoing
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import relay
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import lost_answer

# The sender gives up at the deadline; this only ends what it cannot.
GUARD_S = 0.1

_RunOutcome = run_outcome.RunOutcome
_CONTENT_CODING = b"content-encoding"


class ExitCall(relay.Relay):
    """One request, from its arrival to the answer of the backend server."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        owner: exit_owner.ExitOwner,
        pool: connection_pool.ConnectionPool,
        call: inbound_call.InboundCall,
        ticket_id: int,
        deadline_s: float,
    ) -> None:
        """Keeps the call until it has a slot.

        Args:
            parts: The gateway's parts.
            owner: Keeps the slots.
            pool: Connections to the backend server.
            call: The request as read.
            ticket_id: Its number at this node.
            deadline_s: When its caller gives up.
        """
        super().__init__()
        self._parts = parts
        self._owner = owner
        self._pool = pool
        self._call = call
        self.ticket_id = ticket_id
        self.standing = hop.decode_standing(call.head.headers)
        self.deadline_s = deadline_s
        dialect = parts.settings.dialect
        self.request_id = (
            headers_module.find(call.head.headers, dialect.request_id) or b""
        )
        route = headers_module.find(call.head.headers, hop.ROUTE) or b""
        self.route = route.decode("latin-1")
        call.on_cancel = self._cancelled
        call.on_send_buffer_full = self._pause
        call.on_send_buffer_drained = self._resume

    def begin(self, address: connection_pool.Address, backend_id: str) -> None:
        """Hands the request to the backend server."""
        dialect = self._parts.settings.dialect
        now_s = self._parts.clock.now_s()
        left_s = self.deadline_s - now_s
        head = self._call.head
        replaced = (dialect.deadline_ms, dialect.expected_backend)
        headers = [
            one
            for one in hop.strip(headers_module.forwardable(head.headers))
            if one[0] not in replaced
        ]
        left_ms = max(hop.shorten_ms(left_s), 1)
        headers.append((dialect.deadline_ms, b"%d" % left_ms))
        self._owner.call_started(self, now_s + left_ms / 1000)
        headers.append((dialect.expected_backend, backend_id.encode()))
        self._attempt = attempt_module.Attempt(
            self._pool,
            address,
            outgoing.Outgoing(head.method, head.target, headers, self._call),
            self,
            self.request_id,
            dialect.request_id,
        )
        self._timer = self._parts.reactor.callLater(
            max(left_s, 0) + GUARD_S, self._timed_out
        )
        self._attempt.start()

    def refuse(self, reason: bytes) -> None:
        """Answers that the request was not run here."""
        text = reason.decode("latin-1")
        self._parts.meters.hops.labels(text).inc()
        self._parts.events.info(
            "request-refused-here",
            reason=text,
            request_id=self.request_id.decode("latin-1"),
            route=self.route,
            **self._owner.describe_load(),
        )
        self._finish_timer()
        headers = [
            (self._parts.settings.dialect.request_id, self.request_id),
            (hop.NOT_RUN, reason),
            (hop.LOAD, self._owner.load_of()),
            (hop.WORK, work_report.encode(self._owner.report_share())),
        ]
        self._call.answer(503, headers, b"")

    # The outcome of the attempt.

    def attempt_sent(self) -> None:
        """Nothing is kept: what may have run is known from the loss."""

    def attempt_answered(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Passes the answer on, marked by what it proves."""
        dialect = self._parts.settings.dialect
        self._finish_timer()
        not_run = headers_module.find(head.headers, dialect.not_run)
        proof = headers_module.find(head.headers, dialect.proof)
        coding = headers_module.find(head.headers, _CONTENT_CODING)
        is_due_to_call = False
        end = _RunOutcome.UNANSWERED
        if not_run is None:
            is_failed = hop_answer.is_failure(head)
            is_due_to_call = self._owner.note_outcome(self, is_failed)
            end = _RunOutcome.FAILED if is_failed else _RunOutcome.SERVED
        report = self._owner.call_finished(self, end)
        if not_run is not None or head.status == 421:
            reason = hop.BACKEND_FULL
            if head.status == 421:
                reason = hop.MISDIRECTED
            self._parts.events.info(
                "backend-refused",
                reason=reason.decode("latin-1"),
                request_id=self.request_id.decode("latin-1"),
                route=self.route,
            )
            self.refuse(reason)
            return
        if 200 <= head.status < 300 and (proof is None or coding is not None):
            self._lose("the answer bears no proof of the backend server")
            return
        self._parts.meters.hops.labels(f"{head.status // 100}xx").inc()
        marked = self._mark(head, report)
        if is_due_to_call:
            marked.append((hop.CALL_FAILED, b"1"))
        self._call.answer(head.status, marked, body)

    def attempt_streaming(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Passes the beginning of a long answer on."""
        mode = head.mode
        if mode is body_mode.BodyMode.UNTIL_CLOSE:
            mode = body_mode.BodyMode.CHUNKED
        self._call.start_answer(
            head._replace(headers=self._mark(head, {}), mode=mode)
        )
        self._call.send_body(body)

    def attempt_part(self, part: bytes) -> None:
        """Passes more of a long answer on."""
        self._call.send_body(part)

    def attempt_ended(self) -> None:
        """Ends a long answer."""
        self._finish_timer()
        self._owner.call_finished(self, _RunOutcome.SERVED)
        self._call.finish()

    def attempt_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Says what is known: not run, or perhaps."""
        self._finish_timer()
        self._owner.note_outcome(self, True)
        self._owner.call_finished(self, _RunOutcome.UNANSWERED)
        if self._call.is_head_sent:
            self._call.abort()
            return
        if not loss.is_handed_over:
            self._parts.events.info(
                "backend-unreachable",
                reason=loss.detail,
                request_id=self.request_id.decode("latin-1"),
            )
            self.refuse(hop.UNREACHABLE)
            return
        self._lose(loss.detail)

    def _lose(self, detail: str) -> None:
        """Ends without an answer; the caller's node tells its client."""
        self._parts.meters.hops.labels("lost").inc()
        self._parts.events.info(
            "backend-answer-lost",
            request_id=self.request_id.decode("latin-1"),
            route=self.route,
            detail=detail,
        )
        self._call.abort()

    def _timed_out(self) -> None:
        self._timer = None
        self._cancel_attempt()
        self._owner.note_outcome(self, True)
        self._owner.call_finished(self, _RunOutcome.UNANSWERED)
        self._call.abort()

    def _cancelled(self) -> None:
        self._finish_timer()
        if self._attempt is None:
            self._owner.call_left(self.ticket_id)
            return
        self._attempt.cancel()
        if self._parts.clock.now_s() >= self.deadline_s:
            self._owner.note_outcome(self, True)
        self._owner.call_finished(self, _RunOutcome.UNANSWERED)

    def _mark(
        self, head: answer_head.AnswerHead, report: work_report.WorkReport
    ) -> headers_module.HeaderList:
        headers = hop.strip(headers_module.forwardable(head.headers))
        headers.append((hop.LOAD, self._owner.load_of()))
        if report:
            headers.append((hop.WORK, work_report.encode(report)))
        return headers
