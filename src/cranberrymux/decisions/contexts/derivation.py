"""Derives the contexts of child calls and of retries."""

from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import context_fault
from cranberrymux.decisions.contexts import context_settings
from cranberrymux.decisions.contexts import limits
from cranberrymux.models import request_context

_DEFAULT_SETTINGS = context_settings.ContextSettings()


def child_context(
    parent: request_context.RequestContext,
    child_number: int,
    elapsed_ms: float,
    granted_budget: int,
    settings: context_settings.ContextSettings = _DEFAULT_SETTINGS,
    *,
    once_only: bool = False,
    idempotent: bool = False,
) -> request_context.RequestContext | context_error.ContextError:
    """Makes the context of a child call.

    Args:
        parent: Context of the call whose backend server makes the child call.
        child_number: Number of the child call under its parent, from 1.
        elapsed_ms: Time since the parent call arrived at this node.
        granted_budget: Retries that the child and its children may use.
        settings: Hop margin and maximum depth.
        once_only: True if the child call may run at most once; not inherited.
        idempotent: True if the child call may be run again after a lost
            outcome; not inherited.

    Returns:
        The context, whose `timeout_ms` is 0 if no time is left; or an error
        if the child is nested too deeply or its call id is too long.
    """
    call_id = f"{parent.call_id}.{child_number}"
    if (
        call_id.count(".") >= settings.maximum_depth
        or len(call_id) > limits.MAXIMUM_CALL_ID_LENGTH
    ):
        return context_error.ContextError(
            context_fault.ContextFault.TOO_DEEP,
            f"calls may be nested at most {settings.maximum_depth} deep",
        )
    left_ms = int(parent.timeout_ms - max(elapsed_ms, 0.0))
    return request_context.RequestContext(
        parent.request_id,
        call_id,
        parent.principal,
        max(left_ms - settings.hop_margin_ms, 0),
        parent.class_rank,
        parent.shed_hash,
        granted_budget,
        1,
        once_only,
        idempotent,
    )


def next_attempt(
    context: request_context.RequestContext,
    elapsed_ms: float,
    retry_budget: int,
) -> request_context.RequestContext:
    """Makes the context of a retry of a call.

    Args:
        context: Context of the previous attempt.
        elapsed_ms: Time since the previous attempt was made.
        retry_budget: Retries that the new attempt's children may use.

    Returns:
        The context, whose `timeout_ms` is 0 if no time is left.
    """
    left_ms = int(context.timeout_ms - max(elapsed_ms, 0.0))
    return context._replace(
        timeout_ms=max(left_ms, 0),
        retry_budget=retry_budget,
        attempt=context.attempt + 1,
    )
