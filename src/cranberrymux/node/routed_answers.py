"""Interprets the answers of endpoints at the caller's node."""

from cranberrymux.decisions.retries import retry_policy
from cranberrymux.decisions.routing import outcome
from cranberrymux.models import answer_kind
from cranberrymux.models import http_status
from cranberrymux.models import refusal_reason
from cranberrymux.node import answer_metadata
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import correlation
from cranberrymux.node.http import headers

_Kind = answer_kind.AnswerKind
_Reason = refusal_reason.RefusalReason
_NODE_HEADERS = (
    b"cranberrymux-level",
    b"cranberrymux-load",
    b"cranberrymux-configuration",
    b"cranberrymux-dependency-failed",
    correlation.HEADER,
)


def make_forwarded(head: answer_head.AnswerHead) -> answer_head.AnswerHead:
    """Returns the head of an endpoint's answer for the caller.

    Hop-by-hop headers and those for the caller's node are left out.

    Args:
        head: Head of the answer as received.
    """
    forwarded = [
        pair
        for pair in headers.forwardable(head.headers)
        if pair[0] not in _NODE_HEADERS
    ]
    return head._replace(headers=forwarded)


def classify(
    head: answer_head.AnswerHead, metadata: answer_metadata.AnswerMetadata
) -> outcome.Outcome:
    """Returns the outcome of an answer that is reported to the router.

    Args:
        head: Head of a complete answer.
        metadata: Contents of the system's headers on it.
    """
    if metadata.kind is _Kind.NOT_RUN:
        return _classify_refusal(metadata.reason)
    if metadata.is_dependency_failure:
        return outcome.Outcome.CANCELLED
    if metadata.kind is _Kind.UNKNOWN:
        return outcome.Outcome.LOST
    if head.status >= http_status.MINIMUM_SERVER_ERROR:
        return outcome.Outcome.FAILED
    return outcome.Outcome.DONE


def _classify_refusal(reason: _Reason | None) -> outcome.Outcome:
    if reason in (_Reason.DRAINING, _Reason.NOT_STARTED):
        # Lasts until the directory has a newer record of the endpoint, such as
        # one after its start.
        return outcome.Outcome.DRAINING
    if reason in retry_policy.OVERLOAD_REASONS:
        return outcome.Outcome.REFUSED
    return outcome.Outcome.DONE
