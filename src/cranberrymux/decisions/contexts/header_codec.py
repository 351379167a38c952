"""Codec of the `Cranberrymux-Context` header; see docs/PROTOCOL.md.

The patterns encode the ranges of the fields, so that a single match validates
the complete value.
"""

import functools
import re
import urllib.parse

from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import context_fault
from cranberrymux.decisions.contexts import limits
from cranberrymux.models import request_context

_Fault = context_fault.ContextFault

_REQUEST_ID = f"[A-Za-z0-9-]{{1,{limits.MAXIMUM_REQUEST_ID_LENGTH}}}"
_CALL_ID = f"[A-Za-z0-9.-]{{1,{limits.MAXIMUM_CALL_ID_LENGTH}}}"
_ENCODED_BYTE = "%(?:[2-689A-Fa-f][0-9A-Fa-f]|7[0-9A-Ea-e])"
_PRINCIPAL = (
    f"(?:[A-Za-z0-9_.~-]|{_ENCODED_BYTE}){{0,{limits.MAXIMUM_PRINCIPAL_BYTES}}}"
)
_FIELD_PATTERNS = (
    (_Fault.VERSION, "1"),
    (_Fault.REQUEST_ID, _REQUEST_ID),
    (_Fault.CALL_ID, _CALL_ID),
    (_Fault.PRINCIPAL, _PRINCIPAL),
    (_Fault.TIMEOUT, "0|[1-9][0-9]{0,7}"),
    (_Fault.CLASS_RANK, "0|[1-9][0-9]?"),
    (_Fault.SHED_HASH, "[1-9]?[0-9]|1[01][0-9]|12[0-7]"),
    (_Fault.RETRY_BUDGET, "0|[1-9][0-9]{0,2}"),
    (_Fault.ATTEMPT, "[1-9][0-9]{0,2}"),
    (_Fault.FLAGS, "o?i?"),
)
_HEADER = re.compile(";".join(f"({pattern})" for _, pattern in _FIELD_PATTERNS))
_PLAIN_PRINCIPAL = re.compile(r"[A-Za-z0-9_.~-]*")
_MAXIMUM_CACHED_PRINCIPALS = 1024
# Flags by `(once_only, idempotent)`.
_FLAGS = {
    (False, False): "",
    (True, False): "o",
    (False, True): "i",
    (True, True): "oi",
}


def encode(context: request_context.RequestContext) -> bytes:
    """Encodes a context as a header value.

    Args:
        context: A context for which `check` returns None.

    Returns:
        The header value in ASCII.
    """
    principal = context.principal
    if not _PLAIN_PRINCIPAL.fullmatch(principal):
        principal = _quote(principal)
    flags = _FLAGS[context.once_only, context.idempotent]
    return (
        f"1;{context.request_id};{context.call_id};{principal}"
        f";{context.timeout_ms};{context.class_rank};{context.shed_hash}"
        f";{context.retry_budget};{context.attempt};{flags}"
    ).encode("ascii", "replace")


def decode(
    value: bytes,
) -> request_context.RequestContext | context_error.ContextError:
    """Decodes a header value; never raises, whatever the bytes.

    Args:
        value: The header value as received.

    Returns:
        The context, or an error if the value is invalid.
    """
    if len(value) > limits.MAXIMUM_HEADER_BYTES:
        return _error(_Fault.TOO_LONG)
    text = value.decode("latin-1")
    match = _HEADER.fullmatch(text)
    if match is None:
        return _find_fault(text)
    (
        _,
        request_id,
        call_id,
        principal,
        timeout_ms,
        class_rank,
        shed_hash,
        retry_budget,
        attempt,
        flags,
    ) = match.groups()
    if "%" in principal:
        try:
            principal = _unquote(principal)
        except UnicodeDecodeError:
            return _error(_Fault.PRINCIPAL)
    return request_context.RequestContext(
        request_id,
        call_id,
        principal,
        int(timeout_ms),
        int(class_rank),
        int(shed_hash),
        int(retry_budget),
        int(attempt),
        "o" in flags,
        "i" in flags,
    )


def check(
    context: request_context.RequestContext,
) -> context_error.ContextError | None:
    """Validates a context that was made from a client's headers.

    Returns:
        None if `decode(encode(context))` equals the context, else the error.
    """
    try:
        context.principal.encode("utf-8")
    except UnicodeEncodeError:
        return _error(_Fault.PRINCIPAL)
    decoded = decode(encode(context))
    if isinstance(decoded, context_error.ContextError):
        return decoded
    return None if decoded == context else _error(_Fault.REQUEST_ID)


@functools.lru_cache(maxsize=_MAXIMUM_CACHED_PRINCIPALS)
def _quote(principal: str) -> str:
    return urllib.parse.quote(principal, safe="", errors="replace")


@functools.lru_cache(maxsize=_MAXIMUM_CACHED_PRINCIPALS)
def _unquote(principal: str) -> str:
    return urllib.parse.unquote(principal, errors="strict")


def _find_fault(text: str) -> context_error.ContextError:
    fields = text.split(";")
    if len(fields) != len(_FIELD_PATTERNS):
        return _error(_Fault.FIELD_COUNT)
    for (fault, pattern), field in zip(_FIELD_PATTERNS, fields, strict=True):
        if re.fullmatch(pattern, field) is None:
            return _error(fault)
    raise AssertionError("unreachable: each field matches but not the header")


def _error(fault: context_fault.ContextFault) -> context_error.ContextError:
    return context_error.ContextError(
        fault, f"context header is not valid: {fault.value}"
    )
