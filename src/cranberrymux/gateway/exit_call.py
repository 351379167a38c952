"""A request to the backend server beside this node."""

from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.pressure import slot_ticket
from cranberrymux.gateway import backend_verdict
from cranberrymux.gateway import exit_answers
from cranberrymux.gateway import exit_owner
from cranberrymux.gateway import hop
from cranberrymux.gateway import outgoing_request
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import relay
from cranberrymux.models import backend_process
from cranberrymux.models import socket_address
from cranberrymux.models import whole_number
from cranberrymux.node import attempt as attempt_module
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import request_identity

# The sender cancels at the deadline. If its cancellation does not arrive, the
# request is ended here, this much later.
CANCELLATION_GRACE_S = 0.1
# A request waits for a slot for at most this part of the time that is left.
MAXIMUM_WAIT_RATIO = 0.4

# Only a connection that broke may tell of the end of the backend server.
_BROKEN_CONNECTION = (
    lost_answer.LossReason.CONNECTION_LOST,
    lost_answer.LossReason.TRUNCATED,
)
_NO_PROCESS = backend_process.BackendProcess("", 0)
_NO_ADDRESS = socket_address.SocketAddress("", 0)
_RunOutcome = run_outcome.RunOutcome


class ExitCall(relay.Relay):
    """Sends one request to the backend server once it has a slot.

    Attributes:
        ticket_id: Number of the request, unique at this node.
        deadline_key: Key of its deadline; 0 before it is sent.
        headers: Headers of the request, with those between nodes.
        ticket: What it asks of the slots.
        rank: Order of starting; lower ranks start first.
        tree_context: What the node where its tree began says of the tree.
        start_by_s: Monotonic seconds after which a start is of no use.
        deadline_s: Monotonic seconds at which its caller gives up.
        request_id: Its id.
        digest: Digest of its content, which its resends share.
        route: Name of its route.
        is_resent: True if it was sent to another node before, which counted
            its work.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        owner: exit_owner.ExitOwner,
        pool: connection_pool.ConnectionPool,
        call: inbound_call.InboundCall,
        ticket_id: int,
        now_s: float,
    ) -> None:
        """Reads the headers of the call; `begin` sends it on.

        Args:
            parts: Shared state of the gateway.
            owner: Assigns the slots.
            pool: Connections to the backend server.
            call: The request, as received.
            ticket_id: Its number.
            now_s: Monotonic seconds.
        """
        self._parts = parts
        self._owner = owner
        self._pool = pool
        self._call = call
        headers = self.headers = call.head.headers
        name = parts.settings.dialect.deadline_ms
        left_s = (whole_number.decode(headers.first.get(name)) or 0) / 1000
        self.ticket_id = ticket_id
        self.deadline_key = 0
        self.start_by_s = now_s + MAXIMUM_WAIT_RATIO * left_s
        self.deadline_s = now_s + left_s
        self.tree_context = hop.read_tree_context(headers.first)
        self.rank = self.tree_context.rank
        self.ticket = slot_ticket.Ticket(
            ticket_id,
            self.rank,
            self.start_by_s,
            self.deadline_s,
            self.tree_context.account,
            owner.work.pressure.get_weight(self.tree_context)
            if self.tree_context.account
            else 1.0,
        )
        self._answers = exit_answers.ExitAnswers(
            parts, owner, call, self.tree_context
        )
        self.request_id = self._answers.request_id
        self.digest = self._answers.digest
        self.route = self._answers.route
        self.is_resent = self._answers.is_resent
        self._process = _NO_PROCESS
        self._address = _NO_ADDRESS
        self._sent_s = 0.0
        self._has_begun = False
        self._has_outcome = False
        self._streamed: backend_verdict.BackendVerdict | None = None
        self._streamed_status = 0
        call.on_cancel = self._handle_cancelled
        call.on_send_buffer_full = self._pause_answer
        call.on_send_buffer_drained = self._resume_answer

    @property
    def held_bytes(self) -> int:
        """Bytes of its body that are held here while it waits."""
        return 0 if self._has_begun else self._call.body_length

    def begin(
        self,
        address: socket_address.SocketAddress,
        process: backend_process.BackendProcess,
        encoded_id: bytes,
        now_s: float,
    ) -> None:
        """Sends the request to the backend server.

        Args:
            address: Address of the backend server.
            process: Its process. A server that has another id answers 421.
            encoded_id: The id of that.
            now_s: Monotonic seconds.
        """
        self._process = process
        self._answers.backend_id = process.backend_id
        self._address = address
        dialect = self._parts.settings.dialect
        is_late = self.deadline_s < now_s
        left_s = 0.0 if is_late else self.deadline_s - now_s
        head = self._call.head
        replaced = (dialect.deadline_ms, dialect.expected_backend)
        left_ms = hop.shorten_deadline_ms(left_s) or 1
        headers = [
            *hop.get_forwardable(self.headers, replaced),
            (dialect.deadline_ms, b"%d" % left_ms),
            (dialect.expected_backend, encoded_id),
        ]
        self._owner.work.start_run(self, now_s + left_ms / 1000)
        self._attempt = attempt_module.Attempt(
            self._pool,
            address,
            outgoing_request.OutgoingRequest(
                head.method, head.target, headers, self._call
            ),
            self,
            request_identity.RequestIdentity(
                dialect.request_id, self.request_id
            ),
        )
        self.deadline_key = self._owner.deadlines.add(
            now_s + left_s + CANCELLATION_GRACE_S, self._handle_timeout
        )
        self._sent_s = now_s
        self._attempt.start()
        self._has_begun = True

    def refuse(self, reason: bytes) -> None:
        """Answers that the request was not run here.

        Args:
            reason: One of the reasons of `hop.NOT_RUN`.
        """
        self._answers.refuse(reason)

    # Outcome of the attempt.

    def attempt_sent(self) -> None:
        """Records the time, which orders the answers that it may get."""
        if self._has_begun:
            # It had to wait for a connection.
            self._sent_s = self._parts.clock.now_s()
        self._owner.suspects.run_started(self)

    def attempt_answered(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Passes the answer on, or a refusal if the request did not run."""
        self._end(self._evaluate(head), head, body)

    def _end(
        self,
        verdict: backend_verdict.BackendVerdict,
        head: answer_head.AnswerHead,
        body: bytes,
    ) -> None:
        """Ends the request with a whole answer, or without one."""
        now_s = self._parts.clock.now_s()
        self._owner.suspects.run_ended(self, is_clean=verdict.is_clean)
        is_failed_by_call = False
        if not verdict.refusal:
            self._has_outcome = True
            is_failed_by_call = self._owner.work.note_outcome(
                self, verdict.is_failure, now_s
            )
        work = self._owner.call_finished(self, verdict.outcome, now_s)
        if not verdict.is_passed_on:
            self._withhold(verdict)
            return
        self._answers.forward(
            head, body, work, now_s, is_failed_by_call=is_failed_by_call
        )

    def attempt_streaming(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Passes on the head and first bytes of a long answer.

        If it may not be passed on, the rest of it is not read.
        """
        verdict = self._evaluate(head)
        if not verdict.is_passed_on:
            self._cancel_attempt()
            self._end(verdict, head, body)
            return
        self._streamed = verdict
        self._streamed_status = head.status
        now_s = self._parts.clock.now_s()
        is_failed_by_call = verdict.is_failure and self._note_outcome(
            True, now_s
        )
        self._answers.start_streaming(
            head, body, now_s, is_failed_by_call=is_failed_by_call
        )

    def attempt_part(self, part: bytes) -> None:
        """Passes on the next bytes of a long answer."""
        self._call.send_body(part)

    def attempt_ended(self) -> None:
        """Ends a long answer that is complete."""
        assert self._streamed is not None
        is_clean = self._streamed.is_clean
        self._owner.suspects.run_ended(self, is_clean=is_clean)
        now_s = self._parts.clock.now_s()
        self._note_outcome(self._streamed.is_failure, now_s)
        self._owner.call_finished(self, self._streamed.outcome, now_s)
        self._answers.count_status(self._streamed_status)
        self._call.finish()

    def attempt_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Answers that the request did not run, or aborts if it may have."""
        now_s = self._parts.clock.now_s()
        self._note_outcome(True, now_s)
        self._owner.call_finished(self, _RunOutcome.UNANSWERED, now_s)
        if loss.reason in _BROKEN_CONNECTION:
            self._explain_loss(loss.detail)
            return
        self._owner.suspects.run_ended(self, is_clean=False)
        if not loss.is_handed_over:
            self._answers.log_unreachable(loss.detail)
            self.refuse(hop.UNREACHABLE)
            return
        self._answers.abort_lost(loss.detail)

    def _explain_loss(self, detail: str) -> None:
        """Ends a request whose connection broke once it is known why."""

        def explained(is_dead: bool) -> None:
            if is_dead and not self._answers.is_started:
                self._answers.answer_died()
            else:
                self._answers.abort_lost(detail)

        self._owner.suspects.run_lost(self, self._address, explained)

    def _handle_timeout(self) -> None:
        self._cancel_attempt()
        self._owner.suspects.run_abandoned(self)
        now_s = self._parts.clock.now_s()
        self._note_outcome(True, now_s)
        self._owner.call_finished(self, _RunOutcome.UNANSWERED, now_s)
        self._call.abort()

    def _handle_cancelled(self) -> None:
        if self._attempt is None:
            self._owner.remove_waiting(self.ticket_id)
            return
        self._attempt.cancel()
        self._owner.suspects.run_abandoned(self)
        now_s = self._parts.clock.now_s()
        if now_s >= self.deadline_s:
            self._note_outcome(True, now_s)
        self._owner.call_finished(self, _RunOutcome.UNANSWERED, now_s)

    def _evaluate(
        self, head: answer_head.AnswerHead
    ) -> backend_verdict.BackendVerdict:
        """Judges an answer and learns what it says of the backend server."""
        dialect = self._parts.settings.dialect
        first = headers_module.index(head.headers)
        verdict = backend_verdict.judge(head.status, first, dialect)
        if verdict.is_from_backend:
            self._owner.limit.note_answer_head(
                head, first, self._process, self._sent_s, self.request_id
            )
        return verdict

    def _withhold(self, verdict: backend_verdict.BackendVerdict) -> None:
        """Ends a request whose answer may not be passed on."""
        if not verdict.refusal:
            self._answers.abort_lost(verdict.defect)
            return
        if verdict.refusal == hop.BACKEND_FULL and not self.is_resent:
            self._owner.work.pressure.note_backend_refusal(self.route)
        self._answers.log_refused(verdict.refusal)
        self.refuse(verdict.refusal)

    def _note_outcome(self, is_failed: bool, now_s: float) -> bool:
        """Records how the request ended, the first time that it is called.

        Returns:
            True if it failed because one of its calls failed or is open.
        """
        if self._has_outcome:
            return False
        self._has_outcome = True
        return self._owner.work.note_outcome(self, is_failed, now_s)
