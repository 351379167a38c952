"""What a node learns of an endpoint from an answer of the endpoint's node."""

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import answer_head


def note_answer(
    parts: parts_module.GatewayParts,
    endpoint: endpoint_view.EndpointView,
    head: answer_head.AnswerHead,
    sent_s: float,
    request_id: bytes,
) -> None:
    """Updates an endpoint from an answer of its node.

    Args:
        parts: Shared state of the gateway.
        endpoint: The endpoint that answered.
        head: Head of the answer.
        sent_s: Monotonic seconds at which the request was sent.
        request_id: Id of the request.
    """
    now_s = parts.clock.now_s()
    endpoint.note_answer()
    load = hop.decode_load(head.headers)
    if load is not None:
        endpoint.note_reported_load(now_s, load.requests)
        endpoint.note_reported_failure_rate(now_s, load.failure_rate)
        endpoint.note_reported_slowness(now_s, load.slowness)
    if hop_answer.find_refusal(head) is None:
        endpoint.note_acceptance(True)
        endpoint.note_outcome(now_s, hop_answer.is_own_failure(head))
    _note_rate_limit(parts, endpoint, head, sent_s, request_id)
    _note_leaving(parts, endpoint, head, request_id)


def _note_rate_limit(
    parts: parts_module.GatewayParts,
    endpoint: endpoint_view.EndpointView,
    head: answer_head.AnswerHead,
    sent_s: float,
    request_id: bytes,
) -> None:
    per_s = hop.decode_rate_limit(head.headers)
    if per_s is None and hop_answer.find_refusal(head) is not None:
        # A node that has just started refuses without knowing of a limit.
        return
    now_s = parts.clock.now_s()
    endpoint.pace.note_wait(now_s, hop.decode_limit_wait(head.headers))
    previous_per_s = endpoint.rate_limit.per_s
    if endpoint.rate_limit.note_answer(per_s, sent_s, now_s):
        if per_s is None:
            root_admission = parts.entry_admission.root_admission
            root_admission.reset_service_share(endpoint.record.service)
        parts.events.info(
            "endpoint-rate-limit",
            endpoint_id=endpoint.record.endpoint_id,
            backend_id=endpoint.record.backend_id,
            per_s=per_s,
            previous_per_s=previous_per_s,
            request_id=request_id.decode("latin-1"),
        )


def _note_leaving(
    parts: parts_module.GatewayParts,
    endpoint: endpoint_view.EndpointView,
    head: answer_head.AnswerHead,
    request_id: bytes,
) -> None:
    started_ms = hop.decode_leaving(head.headers)
    if started_ms is not None and endpoint.note_leaving(started_ms):
        parts.events.info(
            "endpoint-leaving",
            endpoint_id=endpoint.record.endpoint_id,
            backend_id=endpoint.record.backend_id,
            started_ms=started_ms,
            request_id=request_id.decode("latin-1"),
        )
