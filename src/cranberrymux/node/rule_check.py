"""Checks whether a call may run at this endpoint."""

from cranberrymux.decisions.configuration import treatment
from cranberrymux.decisions.selectors import selector_labels
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.node import environment

_Reason = refusal_reason.RefusalReason


def check(
    node: environment.Environment, rules: treatment.Treatment
) -> refusal.Refusal | None:
    """Checks the age of the configuration and the place of the endpoint.

    Args:
        node: Tasks and tables of the node.
        rules: How the call is to be treated.

    Returns:
        Why the call may not run here; None if it may.
    """
    if rules.strict and node.policy.is_too_old(node.clock.now_s()):
        return _refuse(
            node,
            _Reason.CONFIGURATION_STALE,
            "no control instance vouches for the configuration",
        )
    record = node.endpoint.record
    if not rules.places or record is None:
        return None
    labels = selector_labels.make_endpoint_labels(record)
    for place in rules.places:
        mismatch = place.explain(labels)
        if mismatch is not None:
            return _refuse(node, _Reason.NO_PLACE, f"this endpoint: {mismatch}")
    return None


def _refuse(
    node: environment.Environment, reason: _Reason, detail: str
) -> refusal.Refusal:
    return refusal.Refusal(
        answer_kind.AnswerKind.NOT_RUN, reason, detail, node.retry_after_ms()
    )
