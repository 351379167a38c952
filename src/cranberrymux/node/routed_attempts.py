"""Choice of the endpoints that one call is sent to, and its retries."""

from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.decisions.contexts import derivation
from cranberrymux.decisions.retries import ended_attempt
from cranberrymux.decisions.retries import retry_policy
from cranberrymux.decisions.retries import retry_verdict
from cranberrymux.decisions.routing import outcome
from cranberrymux.models import answer_kind
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.node import answer_metadata
from cranberrymux.node import endpoint_use
from cranberrymux.node import environment
from cranberrymux.node import places
from cranberrymux.node import running_call
from cranberrymux.telemetry import metric

_Kind = answer_kind.AnswerKind


class RoutedAttempts:
    """Limits how often and to which endpoints one call is sent.

    Attributes:
        context: Context of the current attempt.
    """

    def __init__(
        self,
        node: environment.Environment,
        service: str,
        context: request_context.RequestContext,
        decision: policy_decision.PolicyDecision,
        parent: running_call.RunningCall,
        excluded: frozenset[str],
    ) -> None:
        """Starts without attempts.

        Args:
            node: Tasks and tables of the node.
            service: Service to call.
            context: Context of the call; each attempt gets a retry budget of
                its own.
            decision: Class, limits and guarantees of the call.
            parent: The call whose retry budget is used.
            excluded: Ids of endpoints that must not be chosen.
        """
        self._node = node
        self._service = service
        self.context = context
        # Each class has a bucket of its own, so that retries of low classes do
        # not use up those of high classes.
        self._bucket_key = f"{service}/{context.class_rank}"
        self._parent = parent
        self._excluded = excluded
        self._place_selector = places.join_places(decision.places)
        self._use: endpoint_use.EndpointUse | None = None
        self._overload_refusals = 0

    @property
    def current(self) -> endpoint_use.EndpointUse:
        """The last attempt that was begun."""
        assert self._use is not None
        return self._use

    def choose(self) -> endpoint_record.EndpointRecord | refusal.Refusal:
        """Returns an endpoint that the call was not sent to, or a refusal."""
        return self._node.router.choose(
            self._node.clock.now_s(),
            self._service,
            self.context,
            self._place_selector,
            self._excluded,
        )

    def begin(self, chosen: endpoint_record.EndpointRecord) -> None:
        """Counts an attempt as in flight and allots its retry budget."""
        self._use = endpoint_use.EndpointUse(self._node, chosen)
        self.context = self.context._replace(
            retry_budget=self._parent.ledger.allot(
                self._use.sent_s, self.context.call_id, self.context.attempt
            )
        )

    def take_retry(
        self,
        kind: answer_kind.AnswerKind,
        reason: refusal_reason.RefusalReason | None,
        deadline_s: float,
    ) -> endpoint_record.EndpointRecord | None:
        """Takes a retry from the budgets if it is safe and one is left.

        Args:
            kind: Kind of the answer to the attempt that has ended.
            reason: Its reason; None if the backend server answered.
            deadline_s: Monotonic seconds at which the caller gives up.

        Returns:
            The endpoint to send the call to, or None for no retry.
        """
        if reason in retry_policy.OVERLOAD_REASONS:
            self._overload_refusals += 1
        if not self._may_retry(kind, reason, deadline_s):
            return None
        self._excluded = self._excluded | {self.current.endpoint.endpoint_id}
        chosen = self.choose()
        if isinstance(chosen, refusal.Refusal):
            return None
        if not self._parent.ledger.spend():
            return None
        now_s = self._node.clock.now_s()
        if retry_policy.needs_edge_token(reason):
            self._node.edges.take(now_s, self._bucket_key)
        self.context = derivation.next_attempt(
            self.context, (now_s - self.current.sent_s) * 1000, 0
        )
        self._node.metrics.count(metric.Metric.RETRIES, 1, self._service)
        return chosen

    def note_answer(
        self, ended: outcome.Outcome, metadata: answer_metadata.AnswerMetadata
    ) -> None:
        """Records the answer to the current attempt.

        Args:
            ended: How the attempt ended.
            metadata: Contents of the headers of the answer.
        """
        self._parent.ledger.give_back(
            self.context.call_id, metadata.unspent, self.context.attempt
        )
        self.finish(ended, metadata)
        if metadata.kind is _Kind.DONE:
            self._node.edges.record_success(
                self._node.clock.now_s(), self._bucket_key
            )
        if metadata.level is not None:
            self._node.admission.set_downstream_level(
                self._service, metadata.level
            )

    def finish(
        self,
        ended: outcome.Outcome,
        metadata: answer_metadata.AnswerMetadata | None = None,
    ) -> None:
        """Reports the end of the current attempt, if any, to the router."""
        if self._use is not None:
            self._use.finish(ended, metadata)

    def _may_retry(
        self,
        kind: answer_kind.AnswerKind,
        reason: refusal_reason.RefusalReason | None,
        deadline_s: float,
    ) -> bool:
        now_s = self._node.clock.now_s()
        ended = ended_attempt.EndedAttempt(
            self.context,
            kind,
            reason,
            (deadline_s - now_s) * 1000,
            self._parent.has_parent,
            self._parent.ledger.remaining,
            self._node.edges.has_retry(now_s, self._bucket_key),
            self._overload_refusals,
        )
        verdict = retry_policy.decide_retry(self._node.retry_settings, ended)
        return verdict is retry_verdict.RetryVerdict.RETRY
