"""Decides whether a call may be retried after an attempt has ended."""

from cranberrymux.decisions.retries import ended_attempt
from cranberrymux.decisions.retries import retry_settings
from cranberrymux.decisions.retries import retry_verdict
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason

_Kind = answer_kind.AnswerKind
_Reason = refusal_reason.RefusalReason
_Verdict = retry_verdict.RetryVerdict

OVERLOAD_REASONS = frozenset({_Reason.OVERLOADED, _Reason.QUEUE_FULL})
# Reasons that hold for one endpoint and need not hold for another.
_LOCAL_REASONS = OVERLOAD_REASONS | {
    _Reason.DRAINING,
    _Reason.CONNECTION_LOST,
    _Reason.NOT_STARTED,
    _Reason.CONFIGURATION_STALE,
    _Reason.TRUNCATED,
}


def decide_retry(
    settings: retry_settings.RetrySettings, ended: ended_attempt.EndedAttempt
) -> retry_verdict.RetryVerdict:
    """Decides whether to retry a call at another endpoint.

    The decision spends nothing. After `RETRY` the caller chooses an endpoint,
    then takes the retry from the parent's `BudgetLedger` and, unless the
    endpoint was draining, from the `EdgeBucket` of the service.

    Args:
        settings: Limits of retries.
        ended: The attempt that ended.

    Returns:
        `RETRY`, or the first reason found against a retry.
    """
    return _check_answer(ended) or _check_limits(settings, ended)


def needs_edge_token(reason: refusal_reason.RefusalReason | None) -> bool:
    """Returns whether a retry after this refusal needs an edge token.

    A draining endpoint leaves as planned, which says nothing about the health
    of the service, so that retry needs none.
    """
    return reason is not _Reason.DRAINING


def _check_answer(
    ended: ended_attempt.EndedAttempt,
) -> retry_verdict.RetryVerdict | None:
    """Returns why the answer rules a retry out; None if it does not."""
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


def _check_limits(
    settings: retry_settings.RetrySettings, ended: ended_attempt.EndedAttempt
) -> retry_verdict.RetryVerdict:
    """Returns the first limit that rules a retry out, or `RETRY`."""
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
