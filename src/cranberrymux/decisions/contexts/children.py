"""Derives the contexts of child calls and of further attempts."""

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
    """Makes the context of a call that the backend server of a call makes.

    Args:
        parent: Context of the call that the backend server runs.
        child_number: Number of the child call under its parent, from 1.
        elapsed_ms: Time since the parent call arrived here.
        granted_budget: Retries allotted to the child.
        settings: Margin and depth.
        once_only: Mark of the child call itself; not inherited.
        idempotent: Mark of the child call itself; not inherited.

    Returns:
        The context, whose `timeout_ms` is 0 when no time is left; or an
        error when the call is too deep.
    """
    call_id = f"{parent.call_id}.{child_number}"
    if (
        call_id.count(".") >= settings.maximum_depth
        or len(call_id) > limits.MAXIMUM_CALL_ID_LENGTH
    ):
        return context_error.ContextError(
            context_fault.ContextFault.TOO_DEEP,
            f"a request may be at most {settings.maximum_depth} calls deep",
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
    """Makes the context of a further attempt of a call.

    Args:
        context: Context of the last attempt.
        elapsed_ms: Time since the last attempt was made.
        retry_budget: Retries that the new attempt may spend below it.
    """
    left_ms = int(context.timeout_ms - max(elapsed_ms, 0.0))
    return context._replace(
        timeout_ms=max(left_ms, 0),
        retry_budget=retry_budget,
        attempt=context.attempt + 1,
    )
