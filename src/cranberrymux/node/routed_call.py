"""A call from this node to an endpoint of a service, with its retries."""

from cranberrymux.decisions.answers import call_evidence
from cranberrymux.decisions.answers import classifier
from cranberrymux.decisions.answers import conclusion
from cranberrymux.decisions.answers import reach
from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.decisions.routing import outcome
from cranberrymux.models import answer_kind
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.models import socket_address
from cranberrymux.node import answer_metadata
from cranberrymux.node import environment
from cranberrymux.node import outbound_attempt
from cranberrymux.node import outcome_record
from cranberrymux.node import refusal_answer
from cranberrymux.node import request_encoding
from cranberrymux.node import routed_answers
from cranberrymux.node import routed_attempts
from cranberrymux.node import running_call
from cranberrymux.node import vouch_request
from cranberrymux.node import whole_answer
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import correlation
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import lost_answer

_Kind = answer_kind.AnswerKind
_Reason = refusal_reason.RefusalReason


class RoutedCall:
    """Routes a call to an endpoint and retries it where that is safe.

    Implements `attempt.AttemptOwner` and `running_call.ChildCall`.
    """

    def __init__(
        self,
        node: environment.Environment,
        call: inbound_call.InboundCall,
        service: str,
        context: request_context.RequestContext,
        decision: policy_decision.PolicyDecision,
        parent: running_call.RunningCall,
        excluded: frozenset[str] = frozenset(),
    ) -> None:
        """Creates the call; `start` makes its first attempt.

        Args:
            node: Tasks and tables of the node.
            call: The call as it was received.
            service: Service to call.
            context: Context of the call; each attempt gets a retry budget of
                its own.
            decision: Class, limits and guarantees of the call.
            parent: The call whose retry budget is used.
            excluded: Ids of endpoints that must not be chosen.
        """
        self._node = node
        self._call = call
        self._service = service
        self._context = context
        self._parent = parent
        self._attempts = routed_attempts.RoutedAttempts(
            node, service, context, decision, parent, excluded
        )
        self._began_s = node.clock.now_s()
        self._deadline_s = self._began_s + context.timeout_ms / 1000
        self._deadline_key: int | None = None
        self._attempt: outbound_attempt.OutboundAttempt | None = None
        self._vouch_request: vouch_request.VouchRequest | None = None
        self._streamed_head: answer_head.AnswerHead | None = None
        self._is_over = False

    def start(self) -> None:
        """Makes the first attempt."""
        self._call.on_cancel = self._cancelled
        self._deadline_key = self._node.deadlines.add(
            self._deadline_s, self._deadline_passed
        )
        chosen = self._attempts.choose()
        if isinstance(chosen, refusal.Refusal):
            self._refuse(chosen)
            return
        self._send(chosen)

    def cancel_by_parent(self) -> None:
        """Ends the call, as no caller waits for its parent any more."""
        self._cancelled()
        self._call.abort()

    # Implementation of `attempt.AttemptOwner`: answer of the endpoint.

    def attempt_sent(self) -> None:
        """Does nothing; `endpoint_use` counts from the start of the attempt."""

    def attempt_answered(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Forwards a complete answer, or retries at another endpoint."""
        metadata = self._process_answer(head)
        if metadata.kind is not _Kind.DONE and self._retry(
            metadata.kind or _Kind.UNKNOWN, metadata.reason
        ):
            return
        if metadata.kind is not _Kind.DONE:
            self._parent.has_failed_child = True
        self._end()
        forwarded = routed_answers.make_forwarded(head)
        whole_answer.send(self._call, forwarded, body)

    def attempt_streaming(
        self, head: answer_head.AnswerHead, body: bytes
    ) -> None:
        """Forwards the head and the first bytes of a long answer."""
        assert self._attempt is not None
        self._streamed_head = head
        forwarded = routed_answers.make_forwarded(head)
        self._attempt.stream_to(self._call, forwarded, body)

    def attempt_part(self, part: bytes) -> None:
        """Forwards the next bytes of a long answer."""
        self._call.send_body(part)

    def attempt_ended(self) -> None:
        """Ends a long answer that was forwarded completely."""
        assert self._streamed_head is not None
        self._process_answer(self._streamed_head)
        self._end()
        self._call.finish()

    def attempt_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Retries or refuses the call, by what is known of the attempt.

        If the request may have reached the endpoint, its node is asked whether
        the call was handed over to the backend server.
        """
        if self._streamed_head is not None:
            self._finish_attempt(outcome.Outcome.LOST)
            self._end()
            self._call.abort()
            return
        if not loss.is_handed_over:
            self._finish_attempt(outcome.Outcome.UNREACHABLE)
            evidence = call_evidence.CallEvidence(
                reach.Reach.NOWHERE, reason=_Reason.CONNECTION_LOST
            )
            self._apply_conclusion(classifier.classify(evidence), loss.detail)
            return
        self._finish_attempt(outcome.Outcome.LOST)
        self._request_vouch(loss)

    def _request_vouch(self, loss: lost_answer.LostAnswer) -> None:
        lost = self._attempts.current
        self._vouch_request = vouch_request.VouchRequest(
            self._node,
            self._attempts.context,
            lost.endpoint,
            lost.sent_s,
            lambda concluded: self._apply_conclusion(concluded, loss.detail),
        )
        self._vouch_request.send()

    def _apply_conclusion(
        self, concluded: conclusion.Conclusion, detail: str
    ) -> None:
        if self._is_over:
            return
        self._vouch_request = None
        if self._retry(concluded.kind, concluded.reason):
            return
        self._refuse(
            refusal.Refusal(
                concluded.kind,
                concluded.reason or _Reason.CONNECTION_LOST,
                detail,
                self._node.draw_retry_after_ms(),
            )
        )

    def _retry(
        self, kind: answer_kind.AnswerKind, reason: _Reason | None
    ) -> bool:
        """Makes a further attempt if it is safe and the budget allows it.

        Args:
            kind: Kind of the answer to the attempt that has ended.
            reason: Its reason; None if the backend server answered.

        Returns:
            True if a further attempt was made.
        """
        if self._call.is_body_streamed or not self._call.is_body_complete:
            return False
        chosen = self._attempts.take_retry(kind, reason, self._deadline_s)
        if chosen is None:
            return False
        self._send(chosen)
        return True

    def _send(self, chosen: endpoint_record.EndpointRecord) -> None:
        self._attempts.begin(chosen)
        address = socket_address.SocketAddress(chosen.address, chosen.port)
        identity = correlation.make_identity()
        request = request_encoding.ForwardedCall(
            self._call,
            self._attempts.context,
            address,
            request_encoding.PeerHeaders(
                self._node.cluster_key,
                self._node.policy.version,
                self._service.encode(),
                chosen.endpoint_id.encode(),
                identity.value,
            ),
        )
        self._attempt = outbound_attempt.OutboundAttempt(
            self._node.pool,
            address,
            request,
            self,
            identity,
            self._node.settings.buffered_body_bytes,
        )
        self._attempt.start()

    def _process_answer(
        self, head: answer_head.AnswerHead
    ) -> answer_metadata.AnswerMetadata:
        metadata = answer_metadata.parse_metadata(head)
        self._attempt = None
        self._attempts.note_answer(
            routed_answers.classify(head, metadata), metadata
        )
        if metadata.configuration > self._node.policy.version:
            self._node.version_listener.newer_version_seen(
                metadata.configuration
            )
        return metadata

    def _finish_attempt(self, ended: outcome.Outcome) -> None:
        self._attempt = None
        self._attempts.finish(ended)

    def _refuse(self, refused: refusal.Refusal) -> None:
        self._parent.has_failed_child = True
        self._end()
        # The service's own node did not make this answer, so it is recorded
        # here.
        outcome_record.record(
            self._node,
            self._service,
            self._context.class_rank,
            self._began_s,
            refused.kind,
            refused.reason,
        )
        refusal_answer.send(self._call, refused, self._context.request_id)

    def _cancelled(self) -> None:
        self._cancel_attempt(outcome.Outcome.CANCELLED)
        self._end()

    def _deadline_passed(self) -> None:
        if self._is_over:
            return
        attempt = self._attempt
        was_handed_over = self._vouch_request is not None or (
            attempt is not None and attempt.is_handed_over
        )
        self._cancel_attempt(outcome.Outcome.TIMED_OUT)
        if self._streamed_head is not None:
            self._end()
            self._call.abort()
            return
        self._refuse(self._node.make_expired(may_have_run=was_handed_over))

    def _cancel_attempt(self, ended: outcome.Outcome) -> None:
        if self._attempt is not None:
            self._attempt.cancel()
            self._finish_attempt(ended)

    def _end(self) -> None:
        """Releases the deadline and leaves the parent call."""
        if self._is_over:
            return
        self._is_over = True
        if self._deadline_key is not None:
            self._node.deadlines.remove(self._deadline_key)
        self._parent.remove_child(self._node.clock.now_s(), self)
