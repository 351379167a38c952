"""Reads the context that a call carries."""

from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import refusal
from cranberrymux.models import request_context
from cranberrymux.node import entry_context
from cranberrymux.node.http import headers


def read(
    head_headers: headers.HeaderList,
) -> request_context.RequestContext | refusal.Refusal | None:
    """Returns the context in the headers of a call.

    Returns:
        The context, a refusal if it is not valid, or None if there is none.
    """
    value = headers.find(head_headers, b"cranberrymux-context")
    if value is None:
        return None
    context = header_codec.decode(value)
    if isinstance(context, context_error.ContextError):
        return entry_context.make_bad_request_refusal(
            f"cranberrymux-context: {context.detail}"
        )
    return context
