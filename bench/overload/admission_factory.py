"""Creates the admission control that a policy uses."""

from bench.overload import admission
from bench.overload import codel
from bench.overload import context as context_module
from bench.overload import deployment
from bench.overload import fixed_limit
from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import controller


def make_admission(
    context: context_module.Context, service: deployment.Service
) -> admission.Admission:
    """Returns the admission control of one endpoint."""
    policy = context.policy
    if policy.is_cranberrymux:
        settings = admission_settings.AdmissionSettings(slots=service.slots)
        return controller.AdmissionController(settings, context.generator)
    if policy.has_codel:
        return codel.CoDel(service.slots)
    is_limited_to_slots = policy.limit_is_slots
    return fixed_limit.FixedLimit(
        service.slots if is_limited_to_slots else service.connections
    )
