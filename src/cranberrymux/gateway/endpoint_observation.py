"""What a node learns of an endpoint from an answer of the endpoint's node."""

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import load_report
from cranberrymux.gateway import parts as parts_module


def note_answer(
    parts: parts_module.GatewayParts,
    endpoint: endpoint_view.EndpointView,
    answer: hop_answer.HopAnswer,
) -> None:
    """Updates an endpoint from an answer of its node."""
    now_s = answer.received_s
    endpoint.note_answer()
    load = load_report.decode_load(answer.head.headers)
    if load is not None:
        endpoint.note_reported_load(now_s, load.requests)
        endpoint.note_reported_failure_rate(now_s, load.failure_rate)
        endpoint.note_reported_slowness(now_s, load.slowness)
        if load.speed is not None:
            endpoint.note_reported_speed(now_s, load.speed)
    is_refused = answer.refusal is not None
    if not is_refused:
        endpoint.note_acceptance(True)
        endpoint.note_outcome(now_s, answer.is_own_failure)
    parts.endpoints.zones.note_answer(
        endpoint, answer.sent_s, now_s, is_run=not is_refused
    )
    # A node that has just started refuses without knowing of a limit.
    has_limit = endpoint.rate_limit.per_s is not None and not is_refused
    if answer.rate_limit_per_s is not None or has_limit:
        _note_rate_limit(parts, endpoint, answer)
    if hop.LEAVING in answer.first:
        _note_leaving(parts, endpoint, answer)


def _note_rate_limit(
    parts: parts_module.GatewayParts,
    endpoint: endpoint_view.EndpointView,
    answer: hop_answer.HopAnswer,
) -> None:
    now_s = answer.received_s
    per_s = answer.rate_limit_per_s
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
    parts: parts_module.GatewayParts,
    endpoint: endpoint_view.EndpointView,
    answer: hop_answer.HopAnswer,
) -> None:
    started_ms = hop.decode_leaving(answer.head.headers)
    if started_ms is not None and endpoint.note_leaving(started_ms):
        parts.events.info(
            "endpoint-leaving",
            endpoint_id=endpoint.record.endpoint_id,
            backend_id=endpoint.record.backend_id,
            started_ms=started_ms,
            request_id=answer.request_id.decode("latin-1"),
        )
