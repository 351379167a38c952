"""Checks that an answer is whole and belongs to its request."""

import json
from typing import Any

from cranberrymux.load import call_connection
from cranberrymux.load import lost
from cranberrymux.load import outcome
from cranberrymux.load import outcome_kind
from cranberrymux.load import response

REASON_CHARACTERS_MAX = 100

_Kind = outcome_kind.OutcomeKind

_LOST = {
    lost.Lost.UNREACHABLE: _Kind.NOT_RUN,
    lost.Lost.NOT_SENT: _Kind.NOT_RUN,
    lost.Lost.NO_ANSWER: _Kind.UNKNOWN,
    lost.Lost.CUT: _Kind.CUT,
    lost.Lost.MALFORMED: _Kind.WRONG,
    lost.Lost.TIMED_OUT: _Kind.UNKNOWN,
    lost.Lost.HUNG_UP: _Kind.HUNG_UP,
    lost.Lost.UNFINISHED: _Kind.UNKNOWN,
}

_ANSWERS = {
    b"done": _Kind.DONE,
    b"failed": _Kind.FAILED,
    b"not-run": _Kind.NOT_RUN,
    b"unknown": _Kind.UNKNOWN,
}


def check(result: call_connection.Result, request_id: str) -> outcome.Outcome:
    """Says what an attempt came to.

    Args:
        result: The whole answer, or why there is none.
        request_id: Id that the attempt was sent under.
    """
    if isinstance(result, lost.Lost):
        return outcome.Outcome(_LOST[result], result.value)
    kind = _read_kind(result)
    named = result.headers.get(b"cranberrymux-request-id")
    if named is not None and named.decode("latin-1") != request_id:
        return outcome.Outcome(_Kind.WRONG, "request-id-header")
    if kind is _Kind.DONE:
        reason = _check_body(result.body, request_id)
        if reason:
            return outcome.Outcome(_Kind.WRONG, reason)
        return outcome.Outcome(_Kind.DONE)
    retry_after_ms = _read_retry_after_ms(result)
    is_final = kind is _Kind.NOT_RUN and retry_after_ms is None
    return outcome.Outcome(kind, _read_reason(result), retry_after_ms, is_final)


def _read_kind(result: response.Response) -> outcome_kind.OutcomeKind:
    named = result.headers.get(b"cranberrymux-answer")
    if named is not None:
        return _ANSWERS.get(named, _Kind.WRONG)
    # A backend server without a node does not name the kind of its answer.
    return _Kind.DONE if 200 <= result.status < 300 else _Kind.FAILED


def _read_reason(result: response.Response) -> str:
    named = result.headers.get(b"cranberrymux-reason")
    if named is not None:
        return named.decode("latin-1")
    reason = f"status-{result.status}"
    try:
        answer = json.loads(result.body)
    except (ValueError, RecursionError):
        return reason
    # A stand-in gives the reason of the child call that failed.
    if isinstance(answer, dict) and isinstance(answer.get("reason"), str):
        reason += " " + answer["reason"][:REASON_CHARACTERS_MAX]
    return reason


def _read_retry_after_ms(result: response.Response) -> float | None:
    value = result.headers.get(b"cranberrymux-retry-after-ms")
    if value is not None and value.isdigit():
        return float(value)
    value = result.headers.get(b"retry-after")
    if value is not None and value.isdigit():
        return float(value) * 1000
    return None


def _check_body(body: bytes, request_id: str) -> str:
    try:
        is_own = _is_own(json.loads(body), request_id)
    except (ValueError, RecursionError):
        return "not-json"
    return "" if is_own else "request-id-body"


def _is_own(answer: Any, request_id: str) -> bool:
    if not isinstance(answer, dict) or answer.get("request_id") != request_id:
        return False
    children = answer.get("children", [])
    if not isinstance(children, list):
        return False
    return all(_is_own(child, request_id) for child in children)
