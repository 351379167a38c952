"""Classifies an attempt by the evidence on it.

The kind is `NOT_RUN` only if no byte of the attempt has reached a backend
server and none can reach it later.
"""

from cranberrymux.decisions.answers import call_evidence
from cranberrymux.decisions.answers import conclusion
from cranberrymux.decisions.answers import reach as reach_module
from cranberrymux.decisions.answers import vouch_verdict
from cranberrymux.models import answer_kind
from cranberrymux.models import http_status
from cranberrymux.models import refusal_reason

_Kind = answer_kind.AnswerKind
_Reach = reach_module.Reach
_Reason = refusal_reason.RefusalReason


def classify(evidence: call_evidence.CallEvidence) -> conclusion.Conclusion:
    """Returns the answer for the caller; `UNKNOWN` if nothing is proven.

    Args:
        evidence: What is known of the attempt.

    Returns:
        Kind of the answer, with a reason if a node makes it.
    """
    if evidence.reach is _Reach.NOWHERE:
        return conclusion.Conclusion(_Kind.NOT_RUN, evidence.reason)
    if evidence.reach is _Reach.BACKEND:
        return _classify_backend(evidence)
    return _classify_node(evidence)


def _classify_backend(
    evidence: call_evidence.CallEvidence,
) -> conclusion.Conclusion:
    if evidence.status is None:
        return conclusion.Conclusion(_Kind.UNKNOWN, evidence.reason)
    if not evidence.whole:
        return conclusion.Conclusion(_Kind.UNKNOWN, _Reason.TRUNCATED)
    if evidence.status >= http_status.MINIMUM_SERVER_ERROR:
        return conclusion.Conclusion(_Kind.FAILED, None)
    return conclusion.Conclusion(_Kind.DONE, None)


def _classify_node(
    evidence: call_evidence.CallEvidence,
) -> conclusion.Conclusion:
    kind = evidence.node_kind
    if evidence.status is not None and kind is _Kind.NOT_RUN:
        reason = evidence.node_reason or evidence.reason
        return conclusion.Conclusion(kind, reason)
    if evidence.status is not None and evidence.whole and kind is not None:
        return conclusion.Conclusion(kind, evidence.node_reason)
    if _is_refused(evidence):
        return conclusion.Conclusion(_Kind.NOT_RUN, evidence.reason)
    is_truncated = evidence.status is not None and not evidence.whole
    reason = _Reason.TRUNCATED if is_truncated else evidence.reason
    return conclusion.Conclusion(_Kind.UNKNOWN, reason)


def _is_refused(evidence: call_evidence.CallEvidence) -> bool:
    """True if the callee's node proves that the attempt cannot run.

    The proof needs the same process that the attempt was sent to, and a
    complete record of its hand-overs since the first byte was sent.
    """
    vouch = evidence.vouch
    return (
        vouch is not None
        and vouch.verdict is vouch_verdict.VouchVerdict.REFUSED
        and vouch.incarnation == evidence.sent_incarnation
        and evidence.age_s < vouch.covered_s
        and evidence.status is None
    )
