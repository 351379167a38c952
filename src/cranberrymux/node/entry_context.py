"""Makes the context of a request that enters the system at this node."""

import random
import re
import urllib.parse
import zlib

from cranberrymux.decisions.configuration import treatment
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.models import request_ids
from cranberrymux.node.http import headers

_ANONYMOUS = "anonymous"
_MAXIMUM_PRINCIPAL_LENGTH = 256
_MAXIMUM_TIMEOUT_MS = 3_600_000
_REQUEST_ID = re.compile(rb"[A-Za-z0-9-]{1,64}\Z")


def read_principal(head_headers: headers.HeaderList) -> str:
    """Returns who asks."""
    value = headers.find(head_headers, b"cranberrymux-principal")
    if value is None:
        return _ANONYMOUS
    text = urllib.parse.unquote(value.decode("latin-1"))
    return text[:_MAXIMUM_PRINCIPAL_LENGTH]


def compute_shed_hash(request_id: str) -> int:
    """Returns the request's place in the order of shedding in its class."""
    return zlib.crc32(request_id.encode()) % request_context.SHED_HASHES


def make_entry_context(
    head_headers: headers.HeaderList,
    rules: treatment.Treatment,
    default_timeout_ms: int,
    now_unix_ms: int,
    generator: random.Random,
) -> request_context.RequestContext | refusal.Refusal:
    """Makes the context of a client's request.

    Args:
        head_headers: Headers of the request.
        rules: What the configuration says of the call.
        default_timeout_ms: Time that the client waits if nobody says.
        now_unix_ms: Unix time, for the id of a request that has none.
        generator: Source of random numbers.

    Returns:
        The context, or a refusal if a header is not valid.
    """
    request_id = headers.find(head_headers, b"cranberrymux-request-id")
    if request_id is not None and not _REQUEST_ID.match(request_id):
        return refuse_bad("cranberrymux-request-id is not valid")
    timeout = headers.find(head_headers, b"cranberrymux-timeout-ms")
    timeout_ms = rules.timeout_ms or default_timeout_ms
    if timeout is not None:
        if not timeout.isdigit() or int(timeout) > _MAXIMUM_TIMEOUT_MS:
            return refuse_bad(
                "cranberrymux-timeout-ms is not a number of milliseconds "
                f"up to {_MAXIMUM_TIMEOUT_MS}"
            )
        timeout_ms = int(timeout)
    if request_id is None:
        identity = request_ids.make_request_id(now_unix_ms, generator)
    else:
        identity = request_id.decode()
    context = request_context.RequestContext(
        identity,
        "0",
        read_principal(head_headers),
        timeout_ms,
        rules.class_rank,
        compute_shed_hash(identity),
        rules.retry_budget,
        1,
        rules.once_only,
        rules.idempotent,
    )
    fault = header_codec.check(context)
    if fault is not None:
        return refuse_bad(f"request context: {fault}")
    return context


def refuse_bad(detail: str) -> refusal.Refusal:
    """Returns the refusal of a call whose headers are not valid."""
    return refusal.Refusal(
        answer_kind.AnswerKind.NOT_RUN,
        refusal_reason.RefusalReason.BAD_REQUEST,
        detail,
    )
