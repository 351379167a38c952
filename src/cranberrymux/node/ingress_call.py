"""One call to the backend server beside this node."""

from cranberrymux.decisions.admission import outcome as outcome_module
from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.models import answer_kind
from cranberrymux.models import http_status
from cranberrymux.models import refusal as refusal_module
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.node import backend_run
from cranberrymux.node import backend_server
from cranberrymux.node import call_fingerprint
from cranberrymux.node import claimed_call
from cranberrymux.node import environment
from cranberrymux.node import ingress_answers
from cranberrymux.node import lost_call
from cranberrymux.node import outbound_attempt
from cranberrymux.node import request_encoding
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import request_identity

_Kind = answer_kind.AnswerKind
_Outcome = outcome_module.Outcome
_Reason = refusal_reason.RefusalReason


class IngressCall:
    """Admits a call, hands it to the backend server and returns the answer.

    Implements `attempt.AttemptOwner` and `ingress_calls.OpenCall`.
    """

    def __init__(
        self,
        node: environment.Environment,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
        decision: policy_decision.PolicyDecision,
        backend: backend_server.BackendServer,
    ) -> None:
        """Prepares the call; `start` requests a slot.

        Args:
            node: Tasks and tables of the node.
            call: The call as it arrived.
            context: Context of the call.
            decision: What the configuration says about the call.
            backend: The backend server beside this node.
        """
        self._node = node
        self._call = call
        self._context = context
        self._decision = decision
        self._backend = backend
        self._answers = ingress_answers.IngressAnswers(
            node, call, context, self._abandoned
        )
        self._arrived_s = node.clock.now_s()
        self._deadline_s = self._arrived_s + context.timeout_ms / 1000
        self._deadline_key: int | None = None
        self._run = backend_run.BackendRun(
            node,
            context,
            call_fingerprint.make_fingerprint(
                backend.service, context.request_id, call
            ),
        )
        self._claimed: claimed_call.ClaimedCall | None = None
        self._attempt: outbound_attempt.OutboundAttempt | None = None
        self._streamed_head: answer_head.AnswerHead | None = None
        self._is_over = False

    @property
    def context(self) -> request_context.RequestContext:
        """Context of the call."""
        return self._context

    def start(self) -> None:
        """Requests a slot, unless the call is quarantined."""
        refusal = self._run.classify()
        if refusal is not None:
            self._refuse(refusal)
            return
        self._deadline_key = self._node.deadlines.add(
            self._deadline_s, self._deadline_passed
        )
        self._run.request_slot(self._deadline_s, self._admitted, self._refuse)

    def is_same_request(
        self,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
    ) -> bool:
        """True if a resend has the same principal, method, target and body."""
        return (
            context.principal == self._context.principal
            and call.head.method == self._call.head.method
            and call.head.target == self._call.head.target
            and call.is_body_complete
            and self._call.is_body_complete
            and call.buffered_body() == self._call.buffered_body()
        )

    def join(self, call: inbound_call.InboundCall) -> None:
        """Adds a resend, which gets the same answer."""
        self._answers.join(call)

    # Implementation of `attempt.AttemptOwner`: answer of the backend server.

    def attempt_sent(self) -> None:
        """Does nothing, as the call counts as running from its hand-over."""

    def attempt_answered(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Sends a complete answer to the callers."""
        if self._claimed is not None:
            self._claimed.settle_answer(head, body)
        self._run.finish(head.status < http_status.MINIMUM_SERVER_ERROR)
        has_failed_child = self._run.has_failed_child
        unspent = self._end(ingress_answers.classify(head, has_failed_child))
        self._answers.forward(head, body, unspent, has_failed_child)

    def attempt_streaming(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Sends the head and the first bytes of a long answer to one caller."""
        assert self._attempt is not None
        self._streamed_head = head
        self._answers.start_streaming(self._attempt, head, body)

    def attempt_part(self, part: bytes) -> None:
        """Sends the next bytes of a long answer."""
        self._answers.send_part(part)

    def attempt_ended(self) -> None:
        """Ends a streamed answer."""
        assert self._streamed_head is not None
        if self._claimed is not None:
            self._claimed.settle(self._streamed_head.status, None)
        self._run.finish(
            self._streamed_head.status < http_status.MINIMUM_SERVER_ERROR
        )
        self._end(
            ingress_answers.classify(
                self._streamed_head, self._run.has_failed_child
            )
        )
        self._answers.finish_streaming()

    def attempt_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Answers as not-run or unknown if no complete answer will arrive."""
        if loss.is_handed_over:
            self._run.note_lost(self._backend.address)
        else:
            self._run.finish(False)
            self._release_claim()
            self._node.quarantine.losses.on_dead()
        unspent = self._end(_Outcome.LOST)
        if self._streamed_head is not None:
            self._answers.abort()
            return
        refusal = lost_call.make_refusal(loss, self._node.draw_retry_after_ms())
        self._answers.refuse(refusal, unspent)

    def _admitted(self) -> None:
        if self._is_over:
            self._run.release(_Outcome.CANCELLED)
            return
        if not self._decision.once_only and not self._context.once_only:
            self._hand_over()
            return
        if not self._call.is_body_complete:
            limit_bytes = self._node.settings.buffered_body_bytes
            self._refuse(claimed_call.refuse_long_body(limit_bytes))
            return
        self._claimed = claimed_call.ClaimedCall(
            self._node, self._call, self._context
        )
        self._claimed.claim(self._claim_answered)

    def _claim_answered(self, result: claimed_call.ClaimResult) -> None:
        if self._is_over:
            if result is None:
                self._release_claim()
            return
        if result is None:
            self._hand_over()
            return
        self._claimed = None
        unspent = self._end(_Outcome.CANCELLED)
        if isinstance(result, claimed_call.StoredAnswer):
            self._answers.replay(result)
            return
        self._answers.refuse(result, unspent)

    def _hand_over(self) -> None:
        now_s = self._node.clock.now_s()
        key = attempt_key.from_context(self._context)
        if not self._node.tombstones.hand_over(now_s, key):
            self._release_claim()
            self._refuse(
                refusal_module.Refusal(
                    _Kind.NOT_RUN,
                    _Reason.CANCELLED,
                    "another node was told that this attempt is not run",
                )
            )
            return
        elapsed_ms = int((now_s - self._arrived_s) * 1000)
        backend_context = self._context._replace(
            timeout_ms=max(self._context.timeout_ms - elapsed_ms, 0)
        )
        self._run.begin(now_s, backend_context)
        request = request_encoding.ForwardedCall(
            self._call, backend_context, self._backend.address, None
        )
        identity = request_identity.RequestIdentity(
            b"cranberrymux-request-id",
            backend_context.request_id.encode(),
            is_required=False,
        )
        self._attempt = outbound_attempt.OutboundAttempt(
            self._node.pool,
            self._backend.address,
            request,
            self,
            identity,
            self._node.settings.buffered_body_bytes,
        )
        self._attempt.start()

    def _release_claim(self) -> None:
        if self._claimed is not None:
            self._claimed.release()
            self._claimed = None

    def _refuse(self, refusal: refusal_module.Refusal) -> None:
        unspent = self._end(_Outcome.CANCELLED)
        self._answers.refuse(refusal, unspent)

    def _abandoned(self) -> None:
        """Ends the call because no caller waits any more."""
        if self._is_over:
            return
        if self._claimed is not None and self._attempt is not None:
            # Cancelling it would leave the outcome of the claim unknown for
            # good. When the call ends, its answer is stored for a resend.
            return
        self._cancel_attempt()
        self._end(_Outcome.CANCELLED)

    def _deadline_passed(self) -> None:
        if self._is_over:
            return
        was_handed_over = self._cancel_attempt()
        unspent = self._end(_Outcome.CANCELLED)
        if self._streamed_head is not None:
            self._answers.abort()
            return
        self._answers.refuse(
            self._node.make_expired(may_have_run=was_handed_over), unspent
        )

    def _cancel_attempt(self) -> bool:
        """Cancels the attempt.

        Returns:
            True if any byte may have reached the backend server.
        """
        if self._attempt is None:
            return False
        was_handed_over = self._attempt.is_handed_over
        self._attempt.cancel()
        self._run.finish(False, may_still_run=was_handed_over)
        if not was_handed_over:
            self._release_claim()
        return was_handed_over

    def _end(self, outcome: outcome_module.Outcome) -> int:
        """Frees what the call holds.

        Returns:
            Retries of the call's budget that were not spent.
        """
        if self._is_over:
            return 0
        self._is_over = True
        if self._deadline_key is not None:
            self._node.deadlines.remove(self._deadline_key)
        unspent = self._run.close_children()
        self._node.ingress_calls.remove(self)
        self._run.release(outcome)
        return unspent
