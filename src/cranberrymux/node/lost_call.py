"""What is known of a call whose backend server gave no whole answer."""

from cranberrymux.decisions.answers import call_evidence
from cranberrymux.decisions.answers import classifier
from cranberrymux.decisions.answers import reach
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.node.http import lost_answer

_Loss = lost_answer.LossReason
_Reason = refusal_reason.RefusalReason
_REASONS = {
    _Loss.NOT_CONNECTED: _Reason.NOT_STARTED,
    _Loss.CONNECTION_LOST: _Reason.CONNECTION_LOST,
}


def conclude(
    loss: lost_answer.LostAnswer, retry_after_ms: int
) -> refusal.Refusal:
    """Makes the answer of the node.

    Args:
        loss: How the answer was lost.
        retry_after_ms: When the caller may come back.

    Returns:
        Not-run if no byte was handed over, else unknown.
    """
    where = reach.Reach.NOWHERE
    if loss.is_handed_over:
        where = reach.Reach.BACKEND
    reason = _REASONS.get(loss.reason, _Reason.TRUNCATED)
    known = classifier.classify(
        call_evidence.CallEvidence(where, reason=reason)
    )
    return refusal.Refusal(
        known.kind, known.reason or reason, loss.detail, retry_after_ms
    )
