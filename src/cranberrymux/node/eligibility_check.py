"""Checks whether the configuration lets a call run at this endpoint."""

from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.decisions.selectors import selector_labels
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.node import environment

_Reason = refusal_reason.RefusalReason


def check(
    node: environment.Environment, decision: policy_decision.PolicyDecision
) -> refusal.Refusal | None:
    """Checks the age of the configuration and the labels of the endpoint.

    Args:
        node: Tasks and tables of the node.
        decision: Class, limits and guarantees of the call.

    Returns:
        The refusal of a call that may not run here; None if it may.
    """
    if decision.strict and node.policy.is_stale(node.clock.now_s()):
        return node.make_not_run(
            _Reason.CONFIGURATION_STALE,
            "no control instance confirms that the configuration is current",
        )
    record = node.endpoint.record
    if not decision.places or record is None:
        return None
    labels = selector_labels.make_endpoint_labels(record)
    for place in decision.places:
        mismatch = place.explain(labels)
        if mismatch is not None:
            return node.make_not_run(
                _Reason.NO_PLACE, f"this endpoint: {mismatch}"
            )
    return None
