"""Makes the admission that a policy asks for."""

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
    """Makes the admission of one endpoint."""
    policy = context.policy
    if policy.is_controlled:
        settings = admission_settings.AdmissionSettings(slots=service.slots)
        return controller.AdmissionController(settings, context.generator)
    if policy.has_codel:
        return codel.CoDel(service.slots)
    limited = policy.limit_is_slots
    return fixed_limit.FixedLimit(
        service.slots if limited else service.connections
    )
