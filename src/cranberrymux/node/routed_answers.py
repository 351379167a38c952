"""What the answers of endpoints mean to the caller's node."""

from cranberrymux.decisions.retries import retry_policy
from cranberrymux.decisions.routing import outcome
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason
from cranberrymux.node import answer_facts
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers

_Kind = answer_kind.AnswerKind
_Reason = refusal_reason.RefusalReason
_SERVER_ERROR = 500
_HIDDEN_HEADERS = (
    b"cranberrymux-level",
    b"cranberrymux-load",
    b"cranberrymux-configuration",
    b"cranberrymux-dependency-failed",
)


def pass_on(head: answer_head.AnswerHead) -> headers.HeaderList:
    """Returns the headers of an endpoint's answer for the caller."""
    return [
        pair
        for pair in headers.forwardable(head.headers)
        if pair[0] not in _HIDDEN_HEADERS
    ]


def classify(
    head: answer_head.AnswerHead, facts: answer_facts.AnswerFacts
) -> outcome.Outcome:
    """Returns what the router learns from a whole answer.

    Args:
        head: Head of the answer.
        facts: What its headers say.
    """
    if facts.kind is _Kind.NOT_RUN:
        return _classify_refusal(facts.reason)
    if facts.is_dependency_failure:
        return outcome.Outcome.CANCELLED
    if facts.kind is _Kind.UNKNOWN:
        return outcome.Outcome.LOST
    if head.status >= _SERVER_ERROR:
        return outcome.Outcome.FAILED
    return outcome.Outcome.DONE


def _classify_refusal(reason: _Reason | None) -> outcome.Outcome:
    if reason in (_Reason.DRAINING, _Reason.NOT_STARTED):
        # Newer news of the endpoint, such as of its start, ends this.
        return outcome.Outcome.DRAINING
    if reason in retry_policy.OVERLOAD_REASONS:
        return outcome.Outcome.REFUSED
    return outcome.Outcome.DONE
