"""Records the outcome of a call in the outcomes file and the metrics."""

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason
from cranberrymux.node import environment
from cranberrymux.telemetry import metric

_Metric = metric.Metric


def record(
    node: environment.Environment,
    service: str,
    class_rank: int,
    began_s: float,
    kind: answer_kind.AnswerKind,
    reason: refusal_reason.RefusalReason | None = None,
) -> None:
    """Records one answer in the outcomes and the metrics.

    Args:
        node: Tasks and tables of the node.
        service: Service that was called.
        class_rank: Rank of the call's class.
        began_s: Monotonic time in seconds at which the call arrived.
        kind: Kind of the answer.
        reason: Reason of an answer that the node made; None if the backend
            server answered.
    """
    elapsed_ms = (node.clock.now_s() - began_s) * 1000
    class_name = node.policy.get_class_name(class_rank)
    now_unix_s = node.clock.now_unix_ms() / 1000
    node.outcomes.record(now_unix_s, service, class_name, kind, elapsed_ms)
    sink = node.metrics
    sink.count(_Metric.CALLS, 1, service, class_name, kind.value)
    sink.timing(_Metric.CALL_TIME, elapsed_ms, service, class_name)
    if reason is not None:
        sink.count(_Metric.REFUSALS, 1, service, class_name, reason.value)
