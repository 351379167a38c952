"""What a node learns of an endpoint from an answer of the endpoint's node."""

from typing import NamedTuple

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers as headers_module


class EndpointAnswer(NamedTuple):
    """An answer of an endpoint's node.

    Attributes:
        endpoint: The endpoint.
        head: Head of the answer.
        sent_s: Monotonic seconds at which the request was sent.
        request_id: Id of the request.
    """

    endpoint: endpoint_view.EndpointView
    head: answer_head.AnswerHead
    sent_s: float
    request_id: bytes


def note_answer(
    parts: parts_module.GatewayParts, answer: EndpointAnswer
) -> None:
    """Updates an endpoint from an answer of its node."""
    now_s = parts.clock.now_s()
    endpoint = answer.endpoint
    endpoint.note_answer()
    load = hop.decode_load(answer.head.headers)
    if load is not None:
        endpoint.note_reported_load(now_s, load.requests)
        endpoint.note_reported_failure_rate(now_s, load.failure_rate)
        endpoint.note_reported_slowness(now_s, load.slowness)
        if load.speed is not None:
            endpoint.note_reported_speed(now_s, load.speed)
    first = headers_module.index(answer.head.headers)
    is_refused = hop.NOT_RUN in first
    if not is_refused:
        endpoint.note_acceptance(True)
        endpoint.note_outcome(now_s, hop_answer.is_own_failure(answer.head))
    parts.endpoints.zones.note_answer(
        endpoint, answer.sent_s, now_s, is_run=not is_refused
    )
    per_s = hop.decode_rate_limit(answer.head.headers)
    # A node that has just started refuses without knowing of a limit.
    if per_s is not None or not is_refused:
        _note_rate_limit(parts, answer, per_s, now_s)
    if hop.LEAVING in first:
        _note_leaving(parts, answer)


def _note_rate_limit(
    parts: parts_module.GatewayParts,
    answer: EndpointAnswer,
    per_s: float | None,
    now_s: float,
) -> None:
    endpoint = answer.endpoint
    if per_s is not None:
        wait_s = hop.decode_limit_wait(answer.head.headers)
        endpoint.pace.note_wait(now_s, wait_s)
    previous_per_s = endpoint.rate_limit.per_s
    if not endpoint.rate_limit.note_answer(per_s, answer.sent_s, now_s):
        return
    if per_s is None:
        root_admission = parts.entry_admission.root_admission
        root_admission.reset_service_share(endpoint.record.service)
    parts.events.info(
        "endpoint-rate-limit",
        endpoint_id=endpoint.record.endpoint_id,
        backend_id=endpoint.record.backend_id,
        per_s=per_s,
        previous_per_s=previous_per_s,
        request_id=answer.request_id.decode("latin-1"),
    )


def _note_leaving(
    parts: parts_module.GatewayParts, answer: EndpointAnswer
) -> None:
    started_ms = hop.decode_leaving(answer.head.headers)
    endpoint = answer.endpoint
    if started_ms is not None and endpoint.note_leaving(started_ms):
        parts.events.info(
            "endpoint-leaving",
            endpoint_id=endpoint.record.endpoint_id,
            backend_id=endpoint.record.backend_id,
            started_ms=started_ms,
            request_id=answer.request_id.decode("latin-1"),
        )
