"""Creates the context of a request that enters the system at this node."""

import random
import re
import urllib.parse
import zlib

from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.models import request_ids
from cranberrymux.models import whole_number
from cranberrymux.node.http import headers

_ANONYMOUS = "anonymous"
_MAXIMUM_PRINCIPAL_CHARACTERS = 256
_MAXIMUM_TIMEOUT_MS = 3_600_000
_REQUEST_ID = re.compile(rb"[A-Za-z0-9-]{1,64}\Z")


def read_principal(head_headers: headers.HeaderList) -> str:
    """Returns the client's principal, decoded and cut to its maximum length."""
    encoded_principal = headers.find(head_headers, b"cranberrymux-principal")
    if encoded_principal is None:
        return _ANONYMOUS
    principal = urllib.parse.unquote(encoded_principal.decode("latin-1"))
    return principal[:_MAXIMUM_PRINCIPAL_CHARACTERS]


def compute_shed_hash(request_id: str) -> int:
    """Returns the request's position in the shedding order of its class.

    Args:
        request_id: Id of the request; equal ids have equal positions.

    Returns:
        A number from 0 to `request_context.SHED_HASHES` - 1.
    """
    return zlib.crc32(request_id.encode()) % request_context.SHED_HASHES


def make_entry_context(
    head_headers: headers.HeaderList,
    decision: policy_decision.PolicyDecision,
    default_timeout_ms: int,
    now_unix_ms: int,
    generator: random.Random,
) -> request_context.RequestContext | refusal.Refusal:
    """Creates the context of a client's request.

    Args:
        head_headers: Headers of the request.
        decision: Class, limits and guarantees of the request.
        default_timeout_ms: Timeout if neither the client nor the configuration
            sets one.
        now_unix_ms: Present Unix time, for the id of a request without one.
        generator: Random number generator, for the same id.

    Returns:
        The context, or a refusal if a header is not valid.
    """
    request_id = headers.find(head_headers, b"cranberrymux-request-id")
    if request_id is not None and not _REQUEST_ID.match(request_id):
        return make_bad_request_refusal(
            "cranberrymux-request-id: expected 1 to 64 letters, digits or "
            "hyphens"
        )
    timeout = headers.find(head_headers, b"cranberrymux-timeout-ms")
    timeout_ms = decision.timeout_ms or default_timeout_ms
    if timeout is not None:
        given_ms = whole_number.decode(timeout)
        if given_ms is None or given_ms > _MAXIMUM_TIMEOUT_MS:
            return make_bad_request_refusal(
                "cranberrymux-timeout-ms: expected a number of milliseconds "
                f"up to {_MAXIMUM_TIMEOUT_MS}"
            )
        timeout_ms = given_ms
    if request_id is None:
        assigned_id = request_ids.make_request_id(now_unix_ms, generator)
    else:
        assigned_id = request_id.decode()
    context = request_context.RequestContext(
        assigned_id,
        "0",
        read_principal(head_headers),
        timeout_ms,
        decision.class_rank,
        compute_shed_hash(assigned_id),
        decision.retry_budget,
        1,
        decision.once_only,
        decision.idempotent,
    )
    error = header_codec.check(context)
    if error is not None:
        return make_bad_request_refusal(f"request context: {error}")
    return context


def make_bad_request_refusal(detail: str) -> refusal.Refusal:
    """Returns the refusal of a call whose headers are not valid.

    Args:
        detail: The header, and what is wrong with it.
    """
    return refusal.Refusal(
        answer_kind.AnswerKind.NOT_RUN,
        refusal_reason.RefusalReason.BAD_REQUEST,
        detail,
    )
