"""Asks the callee's node about an attempt whose answer was lost."""

from collections.abc import Callable

from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import call_evidence
from cranberrymux.decisions.answers import classifier
from cranberrymux.decisions.answers import conclusion
from cranberrymux.decisions.answers import reach
from cranberrymux.models import endpoint_record
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.models import socket_address
from cranberrymux.node import environment
from cranberrymux.node import peer_request
from cranberrymux.node import vouch_message

REPLY_TIMEOUT_S = 0.25


class VouchRequest:
    """One request for a vouch, from which the attempt is classified."""

    def __init__(
        self,
        node: environment.Environment,
        context: request_context.RequestContext,
        endpoint: endpoint_record.EndpointRecord,
        sent_s: float,
        on_concluded: Callable[[conclusion.Conclusion], None],
    ) -> None:
        """Prepares the request; `send` sends it.

        Args:
            node: Tasks and tables of the node.
            context: Context of the lost attempt.
            endpoint: Endpoint that the attempt was sent to.
            sent_s: Monotonic seconds at which the attempt was sent.
            on_concluded: Called once with the conclusion, at the latest when
                `REPLY_TIMEOUT_S` has passed without a reply.
        """
        self._node = node
        self._context = context
        self._endpoint = endpoint
        self._sent_s = sent_s
        self._on_concluded = on_concluded

    def send(self) -> None:
        """Sends the request and starts its timeout."""
        key = attempt_key.from_context(self._context)
        request = peer_request.PeerRequest(
            vouch_message.encode_request(key, self._node.cluster_key),
            self._classify_attempt,
        )
        timeout_due_s = self._node.clock.now_s() + REPLY_TIMEOUT_S
        self._node.deadlines.add(timeout_due_s, request.give_up)
        endpoint = self._endpoint
        request.start(
            self._node.pool,
            socket_address.SocketAddress(endpoint.address, endpoint.port),
        )

    def _classify_attempt(self, body: bytes | None) -> None:
        evidence = call_evidence.CallEvidence(
            reach.Reach.NODE,
            reason=refusal_reason.RefusalReason.CONNECTION_LOST,
            sent_incarnation=self._endpoint.incarnation,
            age_s=self._node.clock.now_s() - self._sent_s,
            vouch=vouch_message.decode_vouch(body),
        )
        self._on_concluded(classifier.classify(evidence))
