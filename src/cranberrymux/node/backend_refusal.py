"""Whether the backend server of a node without routes has refused a call."""

from cranberrymux.models import answer_kind
from cranberrymux.models import http_status
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers

_HEADER = b"cranberrymux-answer"
_NOT_RUN = answer_kind.AnswerKind.NOT_RUN.value.encode()


def is_refusal(head: answer_head.AnswerHead) -> bool:
    """Returns whether an answer says that the call was not run.

    One that also has the status of a call that succeeded contradicts itself,
    and proves nothing.

    Args:
        head: Head of the backend server's answer.
    """
    return (
        headers.find(head.headers, _HEADER) == _NOT_RUN
        and head.status >= http_status.MINIMUM_ERROR
    )
