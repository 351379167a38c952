"""Decides whether the client gets an answer of an endpoint's node."""

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.gateway import attempts as attempts_module
from cranberrymux.gateway import endpoint_observation
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import own_answers
from cranberrymux.gateway import parts as parts_module

_Outcome = own_answers.Outcome


class AnswerJudge:
    """Learns from the answers to one request, and what follows from them."""

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        attempts: attempts_module.Attempts,
    ) -> None:
        """Starts without answers.

        Args:
            parts: Shared state of the gateway.
            attempts: The attempts of the request.
        """
        self._parts = parts
        self._attempts = attempts
        self._is_repeated_after_failure = False

    def is_final(
        self,
        endpoint: endpoint_view.EndpointView | None,
        answer: hop_answer.HopAnswer,
    ) -> bool:
        """Learns from the head of an answer and decides on the answer.

        Args:
            endpoint: The endpoint; None if the request has no current one.
            answer: The answer.

        Returns:
            True if the client gets the answer. Otherwise, the endpoint refused
            the request, or it failed and a repeat was taken from the budget.
        """
        if endpoint is not None:
            endpoint_observation.note_answer(self._parts, endpoint, answer)
        if answer.refusal is not None:
            return False
        return not (
            answer.is_own_failure
            and self._take_repeat_after_failure(endpoint, answer.received_s)
        )

    def note_refusal(
        self,
        endpoint: endpoint_view.EndpointView | None,
        reason: bytes,
        answer: hop_answer.HopAnswer,
    ) -> own_answers.Outcome | None:
        """Notes that the endpoint's node or backend server refused.

        Args:
            endpoint: The endpoint; None if the request has no current one.
            reason: One of the reasons of `hop.NOT_RUN`.
            answer: The answer.

        Returns:
            None if the request may be sent to another endpoint, else how its
            caller is refused.
        """
        attempts = self._attempts
        now_s = answer.received_s
        attempts.note_node_refused(
            reason, hop.decode_limit_wait(answer.head.headers)
        )
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
        self, endpoint: endpoint_view.EndpointView | None, now_s: float
    ) -> bool:
        """Takes a repeat from the budget, once in the life of the request."""
        self._attempts.note_failed(endpoint)
        if self._is_repeated_after_failure:
            return False
        self._is_repeated_after_failure = self._attempts.take_repeat(now_s)
        return self._is_repeated_after_failure
