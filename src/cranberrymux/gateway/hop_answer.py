"""Reads the status and the node headers of another node's answer."""

from cranberrymux.gateway import hop
from cranberrymux.models import http_status
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import lost_answer

MINIMUM_SERVER_ERROR_STATUS = http_status.MINIMUM_SERVER_ERROR
BACKEND_DIED = lost_answer.LostAnswer(
    lost_answer.LossReason.CONNECTION_LOST, True, "the backend server died"
)


def find_refusal(head: answer_head.AnswerHead) -> bytes | None:
    """Returns why the request was not run; None if it may have been."""
    return headers_module.find(head.headers, hop.NOT_RUN)


def is_failure(head: answer_head.AnswerHead) -> bool:
    """True if the request failed at the backend server."""
    return head.status >= MINIMUM_SERVER_ERROR_STATUS


def has_died(head: answer_head.AnswerHead) -> bool:
    """True if the backend server died while it ran the request."""
    return headers_module.find(head.headers, hop.DIED) is not None


def has_failed_call(head: answer_head.AnswerHead) -> bool:
    """True if it failed because a call of the request failed."""
    return headers_module.find(head.headers, hop.CALL_FAILED) is not None


def is_own_failure(head: answer_head.AnswerHead) -> bool:
    """True if it failed, and not because of a call."""
    return is_failure(head) and not has_failed_call(head)


def get_client_headers(
    head: answer_head.AnswerHead,
) -> headers_module.HeaderList:
    """Returns the headers of the answer that the client gets."""
    return hop.get_forwardable(head.headers)
