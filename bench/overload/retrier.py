"""Retry decisions of a caller."""

from typing import Protocol

from bench.overload import call
from bench.overload import outbound_call as outbound_call_module
from cranberrymux.decisions.retries import edge_buckets
from cranberrymux.decisions.retries import ended_attempt
from cranberrymux.decisions.retries import retry_policy
from cranberrymux.decisions.retries import retry_settings
from cranberrymux.decisions.retries import retry_verdict
from cranberrymux.models import answer_kind


class Retrier(Protocol):
    """Decides on the retries of one caller's calls to one service."""

    def should_retry(
        self,
        now_s: float,
        outbound_call: outbound_call_module.OutboundCall,
        answers: tuple[call.Answer, ...],
    ) -> bool:
        """Decides whether to retry; a granted retry is spent.

        Args:
            now_s: Virtual seconds.
            outbound_call: The call.
            answers: Answers to all attempts so far, the latest last.
        """


class HopRetries:
    """Baseline with a fixed maximum of retries per call and no budget."""

    def __init__(self, maximum: int) -> None:
        """Creates the retry decisions of one caller.

        Args:
            maximum: Maximum number of retries of each call.
        """
        self._maximum = maximum

    def should_retry(
        self,
        now_s: float,
        outbound_call: outbound_call_module.OutboundCall,
        answers: tuple[call.Answer, ...],
    ) -> bool:
        """Retries every failed or refused call up to the maximum."""
        del now_s, outbound_call
        return not answers[-1].served_by and len(answers) <= self._maximum


class BudgetRetries:
    """Retries by cranberrymux's policy, request budget and edge buckets."""

    def __init__(self) -> None:
        """Creates the retry decisions of one caller, with new buckets."""
        self._settings = retry_settings.RetrySettings()
        self._buckets = edge_buckets.EdgeBuckets(self._settings)

    def should_retry(
        self,
        now_s: float,
        outbound_call: outbound_call_module.OutboundCall,
        answers: tuple[call.Answer, ...],
    ) -> bool:
        """Asks the policy; a retry is taken from budget and bucket."""
        last = answers[-1]
        kind = outbound_call.request.kind
        service = f"{kind.chain[outbound_call.depth]}/{kind.class_rank}"
        if last.served_by:
            self._buckets.record_success(now_s, service)
            return False
        reason = None if last.refusal is None else last.refusal.reason
        ended = ended_attempt.EndedAttempt(
            outbound_call.request.make_context(len(answers)),
            _get_kind(last),
            reason,
            1000 * (outbound_call.deadline_s - now_s),
            has_parent=True,
            budget_left=outbound_call.request.retries_left,
            edge_has_retry=self._buckets.has_retry(now_s, service),
            overload_refusals=sum(map(_is_overload, answers)),
        )
        verdict = retry_policy.decide_retry(self._settings, ended)
        if verdict is not retry_verdict.RetryVerdict.RETRY:
            return False
        outbound_call.request.retries_left -= 1
        if retry_policy.needs_edge_token(reason):
            self._buckets.take(now_s, service)
        return True


def _get_kind(answer: call.Answer) -> answer_kind.AnswerKind:
    if answer.refusal is not None:
        return answer.refusal.kind
    return answer_kind.AnswerKind.FAILED


def _is_overload(answer: call.Answer) -> bool:
    if answer.refusal is None:
        return False
    return answer.refusal.reason in retry_policy.OVERLOAD_REASONS
