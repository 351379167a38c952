"""Decides whether the client gets an answer of an endpoint's node."""

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.gateway import attempts as attempts_module
from cranberrymux.gateway import endpoint_observation
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import own_answers
from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import answer_head

_Outcome = own_answers.Outcome


class AnswerJudge:
    """Learns from the answers to one request, and what follows from them."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        attempts: attempts_module.Attempts,
        request_id: bytes,
    ) -> None:
        """Starts without answers.

        Args:
            parts: Shared state of the gateway.
            attempts: The attempts of the request.
            request_id: Its id.
        """
        self._parts = parts
        self._attempts = attempts
        self._request_id = request_id
        self._is_repeated_after_failure = False

    def is_final(
        self,
        endpoint: endpoint_view.EndpointView | None,
        head: answer_head.AnswerHead,
        sent_s: float,
    ) -> bool:
        """Learns from the head of an answer and decides on the answer.

        Args:
            endpoint: The endpoint; None if the request has no current one.
            head: Head of the answer, whether that is long or short.
            sent_s: Monotonic seconds at which the request was sent.

        Returns:
            True if the client gets the answer. Otherwise, the endpoint refused
            the request, or it failed and a repeat was taken from the budget.
        """
        if endpoint is not None:
            endpoint_observation.note_answer(
                self._parts,
                endpoint_observation.EndpointAnswer(
                    endpoint, head, sent_s, self._request_id
                ),
            )
        if hop_answer.find_refusal(head) is not None:
            return False
        is_failed = hop_answer.is_own_failure(head)
        return not (is_failed and self._take_repeat_after_failure(endpoint))

    def note_refusal(
        self,
        endpoint: endpoint_view.EndpointView | None,
        reason: bytes,
        head: answer_head.AnswerHead,
        now_s: float,
    ) -> own_answers.Outcome | None:
        """Notes that the endpoint's node or backend server refused.

        Args:
            endpoint: The endpoint; None if the request has no current one.
            reason: One of the reasons of `hop.NOT_RUN`.
            head: Head of the answer.
            now_s: Monotonic seconds.

        Returns:
            None if the request may be sent to another endpoint, else how its
            caller is refused.
        """
        attempts = self._attempts
        attempts.note_node_refused(reason, hop.decode_limit_wait(head.headers))
        if endpoint is not None and reason not in hop.BUSY_REASONS:
            endpoint.note_not_serving(now_s)
        if reason == hop.QUARANTINED:
            return _Outcome.QUARANTINED
        is_sent_again = not attempts.is_streamed
        if reason == hop.BACKEND_FULL:
            attempts.note_refused(endpoint)
            is_sent_again = attempts.take_repeat_after_refusal(now_s)
        return None if is_sent_again else _Outcome.REFUSED

    def _take_repeat_after_failure(
        self, endpoint: endpoint_view.EndpointView | None
    ) -> bool:
        """Takes a repeat from the budget, once in the life of the request."""
        self._attempts.note_failed(endpoint)
        if self._is_repeated_after_failure:
            return False
        self._is_repeated_after_failure = self._attempts.take_repeat(
            self._parts.clock.now_s()
        )
        return self._is_repeated_after_failure
