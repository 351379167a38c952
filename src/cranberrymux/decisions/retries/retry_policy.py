"""Decides whether a call may be tried again."""

from cranberrymux.decisions.retries import ended_attempt
from cranberrymux.decisions.retries import retry_settings
from cranberrymux.decisions.retries import retry_verdict
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason

_Kind = answer_kind.AnswerKind
_Reason = refusal_reason.RefusalReason
_Verdict = retry_verdict.RetryVerdict

OVERLOAD_REASONS = frozenset({_Reason.OVERLOADED, _Reason.QUEUE_FULL})
# Reasons of one endpoint, which another may not have.
_LOCAL_REASONS = OVERLOAD_REASONS | {
    _Reason.DRAINING,
    _Reason.CONNECTION_LOST,
    _Reason.NOT_STARTED,
    _Reason.CONFIGURATION_STALE,
    _Reason.TRUNCATED,
}


def may_retry(
    settings: retry_settings.RetrySettings, ended: ended_attempt.EndedAttempt
) -> retry_verdict.RetryVerdict:
    """Decides whether to try a call at another endpoint; changes nothing.

    After `RETRY` the caller chooses an endpoint, then takes the retry from
    the ledger and, unless the endpoint was draining, from the edge's bucket.

    Args:
        settings: Bounds.
        ended: The attempt that ended.
    """
    return _judge_answer(ended) or _judge_bounds(settings, ended)


def needs_edge_token(reason: refusal_reason.RefusalReason | None) -> bool:
    """False for a planned leave, which says nothing of the service's health."""
    return reason is not _Reason.DRAINING


def _judge_answer(
    ended: ended_attempt.EndedAttempt,
) -> retry_verdict.RetryVerdict | None:
    if ended.kind is _Kind.DONE:
        return _Verdict.ANSWERED
    if ended.kind is _Kind.NOT_RUN:
        return None if ended.reason in _LOCAL_REASONS else _Verdict.FINAL
    context = ended.context
    if context.once_only or not context.idempotent:
        return _Verdict.MAY_HAVE_RUN
    if ended.reason is None or ended.reason in _LOCAL_REASONS:
        return None
    return _Verdict.FINAL


def _judge_bounds(
    settings: retry_settings.RetrySettings, ended: ended_attempt.EndedAttempt
) -> retry_verdict.RetryVerdict:
    overloaded = ended.reason in OVERLOAD_REASONS
    edge_needed = needs_edge_token(ended.reason)
    verdict = _Verdict.RETRY
    if not ended.has_parent:
        verdict = _Verdict.NO_PARENT
    elif ended.context.attempt >= settings.maximum_attempts:
        verdict = _Verdict.MAXIMUM_ATTEMPTS
    elif overloaded and ended.overload_refusals >= settings.overload_attempts:
        verdict = _Verdict.SERVICE_OVERLOADED
    elif ended.timeout_left_ms < settings.minimum_timeout_ms:
        verdict = _Verdict.NO_TIME
    elif ended.budget_left < 1:
        verdict = _Verdict.NO_BUDGET
    elif edge_needed and not ended.edge_has_retry:
        verdict = _Verdict.NO_EDGE_TOKEN
    return verdict
