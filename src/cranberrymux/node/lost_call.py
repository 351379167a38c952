"""Makes the refusal of a call whose backend server's answer was lost."""

from cranberrymux.decisions.answers import call_evidence
from cranberrymux.decisions.answers import classifier
from cranberrymux.decisions.answers import reach
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.node.http import lost_answer

_Loss = lost_answer.LossReason
_Reason = refusal_reason.RefusalReason
_REASONS_BY_LOSS = {
    _Loss.NOT_CONNECTED: _Reason.NOT_STARTED,
    _Loss.CONNECTION_LOST: _Reason.CONNECTION_LOST,
}


def make_refusal(
    loss: lost_answer.LostAnswer, retry_after_ms: int
) -> refusal.Refusal:
    """Returns the node's own answer to the call.

    Args:
        loss: How the answer was lost.
        retry_after_ms: Delay in milliseconds after which the caller may retry.

    Returns:
        A refusal of kind `NOT_RUN` if no byte was handed over, else of kind
        `UNKNOWN`.
    """
    call_reach = reach.Reach.NOWHERE
    if loss.is_handed_over:
        call_reach = reach.Reach.BACKEND
    reason = _REASONS_BY_LOSS.get(loss.reason, _Reason.TRUNCATED)
    conclusion = classifier.classify(
        call_evidence.CallEvidence(call_reach, reason=reason)
    )
    return refusal.Refusal(
        conclusion.kind,
        conclusion.reason or reason,
        loss.detail,
        retry_after_ms,
    )
