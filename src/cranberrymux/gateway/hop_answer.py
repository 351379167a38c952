"""Reads the status and the node headers of another node's answer."""

from cranberrymux.gateway import hop
from cranberrymux.models import http_status
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import lost_answer

BACKEND_DIED = lost_answer.LostAnswer(
    lost_answer.LossReason.CONNECTION_LOST, True, "the backend server died"
)


class HopAnswer:
    """An answer of another node: its head, with what the node says in it.

    Attributes:
        head: Head of the answer, whether that is long or short.
        request_id: Id of the request.
        sent_s: Monotonic seconds at which the request was sent.
        received_s: Monotonic seconds at which the answer was read.
        first: Value of the first header of each name.
        refusal: Why the request was not run; None if it may have been.
        has_died: True if the backend server died while it ran the request.
        is_failure: True if the request failed at the backend server.
        has_failed_call: True if it failed because a call of it failed.
        is_own_failure: True if it failed, and not because of a call.
        rate_limit_per_s: Rate limit of the backend server; None without one.
    """

    __slots__ = (
        "first",
        "has_died",
        "has_failed_call",
        "head",
        "is_failure",
        "is_own_failure",
        "rate_limit_per_s",
        "received_s",
        "refusal",
        "request_id",
        "sent_s",
    )

    def __init__(
        self,
        head: answer_head.AnswerHead,
        request_id: bytes,
        sent_s: float,
        received_s: float,
    ) -> None:
        """Reads the headers."""
        first = headers_module.index(head.headers)
        self.head = head
        self.request_id = request_id
        self.sent_s = sent_s
        self.received_s = received_s
        self.first = first
        self.refusal = first.get(hop.NOT_RUN)
        self.has_died = hop.DIED in first
        self.is_failure = head.status >= http_status.MINIMUM_SERVER_ERROR
        self.has_failed_call = hop.CALL_FAILED in first
        self.is_own_failure = self.is_failure and not self.has_failed_call
        self.rate_limit_per_s: float | None = None
        if hop.RATE_LIMIT in first:
            self.rate_limit_per_s = hop.decode_rate_limit(head.headers)
