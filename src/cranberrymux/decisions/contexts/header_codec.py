"""The `Cranberrymux-Context` header; see docs/PROTOCOL.md.

The patterns state the ranges, so that one match checks the whole value.
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
_CACHED_PRINCIPALS = 1024
_FLAGS_OF = {
    (False, False): "",
    (True, False): "o",
    (False, True): "i",
    (True, True): "oi",
}


def encode(context: request_context.RequestContext) -> bytes:
    """Writes a context as the value of its header.

    Args:
        context: A context for which `check` finds no fault.

    Returns:
        The value, in ASCII.
    """
    principal = context.principal
    if not _PLAIN_PRINCIPAL.fullmatch(principal):
        principal = _quote(principal)
    flags = _FLAGS_OF[context.once_only, context.idempotent]
    return (
        f"1;{context.request_id};{context.call_id};{principal}"
        f";{context.timeout_ms};{context.class_rank};{context.shed_hash}"
        f";{context.retry_budget};{context.attempt};{flags}"
    ).encode("ascii", "replace")


def decode(
    value: bytes,
) -> request_context.RequestContext | context_error.ContextError:
    """Reads the value of the header; never raises.

    Args:
        value: The value as it came from the socket.

    Returns:
        The context, or what is wrong with the value.
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
    """Finds what is wrong with a context made from a client's own headers.

    Returns:
        None if `decode(encode(context))` gives the same context.
    """
    try:
        context.principal.encode("utf-8")
    except UnicodeEncodeError:
        return _error(_Fault.PRINCIPAL)
    decoded = decode(encode(context))
    if isinstance(decoded, context_error.ContextError):
        return decoded
    return None if decoded == context else _error(_Fault.REQUEST_ID)


@functools.lru_cache(maxsize=_CACHED_PRINCIPALS)
def _quote(principal: str) -> str:
    return urllib.parse.quote(principal, safe="", errors="replace")


@functools.lru_cache(maxsize=_CACHED_PRINCIPALS)
def _unquote(principal: str) -> str:
    return urllib.parse.unquote(principal, errors="strict")


def _find_fault(text: str) -> context_error.ContextError:
    fields = text.split(";")
    if len(fields) != len(_FIELD_PATTERNS):
        return _error(_Fault.FIELD_COUNT)
    for (fault, pattern), field in zip(_FIELD_PATTERNS, fields, strict=True):
        if re.fullmatch(pattern, field) is None:
            return _error(fault)
    raise AssertionError("unreachable: every field matches, the header not")


def _error(fault: context_fault.ContextFault) -> context_error.ContextError:
    return context_error.ContextError(
        fault, f"context header: {fault.value} is not valid"
    )
