"""Builds a node's status and sends its outcomes and metrics."""

from cranberrymux.node import environment
from cranberrymux.node import ingress as ingress_module
from cranberrymux.node import status_body
from cranberrymux.telemetry import metric

_Metric = metric.Metric


def make_status(
    node: environment.Environment, ingress: ingress_module.Ingress
) -> status_body.StatusBody:
    """Builds the body that `GET /v1/status` returns.

    Args:
        node: Tasks and tables of the node.
        ingress: Knows the backend server.
    """
    backend = ingress.backend
    record = node.endpoint.record
    state = "starting"
    if record is not None and ingress.is_configured:
        state = record.state.name.lower()
    return status_body.StatusBody(
        node_id=node.settings.node_id,
        service=backend.service if backend else "",
        state=state,
        in_flight=node.admission.in_flight,
        queued=node.admission.queue_length,
        limit=node.admission.limit,
        level=node.admission.level,
        configuration_version=node.policy.version,
        suspects=node.quarantine.record_count,
    )


def report(
    node: environment.Environment, ingress: ingress_module.Ingress
) -> None:
    """Writes the outcomes that are due and sends the gauges.

    Args:
        node: Tasks and tables of the node.
        ingress: Knows the backend server.
    """
    node.outcomes.flush(node.clock.now_unix_ms() / 1000)
    backend = ingress.backend
    service = backend.service if backend else ""
    sink = node.metrics
    admission = node.admission
    sink.gauge(_Metric.IN_FLIGHT, admission.in_flight, service)
    sink.gauge(_Metric.QUEUED, admission.queue_length, service)
    sink.gauge(_Metric.CONCURRENCY_LIMIT, admission.limit, service)
    sink.gauge(_Metric.LEVEL, admission.level, service)
    sink.gauge(_Metric.CONFIGURATION_VERSION, node.policy.version)
    sink.flush()
