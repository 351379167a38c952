"""Validates the response of an attempt and derives its outcome."""

import json
from typing import Any

from cranberrymux.load import http_connection
from cranberrymux.load import no_response_reason
from cranberrymux.load import outcome
from cranberrymux.load import outcome_kind
from cranberrymux.load import response

MAXIMUM_REASON_CHARACTERS = 100

_Kind = outcome_kind.OutcomeKind

_KIND_BY_NO_RESPONSE_REASON = {
    no_response_reason.NoResponseReason.UNREACHABLE: _Kind.NOT_RUN,
    no_response_reason.NoResponseReason.NOT_SENT: _Kind.NOT_RUN,
    no_response_reason.NoResponseReason.NO_ANSWER: _Kind.UNKNOWN,
    no_response_reason.NoResponseReason.CUT: _Kind.CUT,
    no_response_reason.NoResponseReason.MALFORMED: _Kind.WRONG,
    no_response_reason.NoResponseReason.TIMED_OUT: _Kind.UNKNOWN,
    no_response_reason.NoResponseReason.HUNG_UP: _Kind.HUNG_UP,
    no_response_reason.NoResponseReason.UNFINISHED: _Kind.UNKNOWN,
}

_KIND_BY_HEADER = {
    b"done": _Kind.DONE,
    b"failed": _Kind.FAILED,
    b"not-run": _Kind.NOT_RUN,
    b"unknown": _Kind.UNKNOWN,
}


def determine_outcome(
    result: http_connection.Result, request_id: str
) -> outcome.Outcome:
    """Returns the outcome of an attempt.

    A successful response whose request id, in the header or anywhere in the
    tree of the body, is not that of the request is wrong.

    Args:
        result: The complete response, or why there is none.
        request_id: Id under which the attempt was sent.
    """
    if isinstance(result, no_response_reason.NoResponseReason):
        return outcome.Outcome(
            _KIND_BY_NO_RESPONSE_REASON[result], result.value
        )
    kind = _read_kind(result)
    header = result.headers.get(b"cranberrymux-request-id")
    if header is not None and header.decode("latin-1") != request_id:
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
    header = result.headers.get(b"cranberrymux-answer")
    if header is not None:
        return _KIND_BY_HEADER.get(header, _Kind.WRONG)
    # A backend server that is called without a node sends no kind header.
    return _Kind.DONE if 200 <= result.status < 300 else _Kind.FAILED


def _read_reason(result: response.Response) -> str:
    header = result.headers.get(b"cranberrymux-reason")
    if header is not None:
        return header.decode("latin-1")
    reason = f"status-{result.status}"
    try:
        body = json.loads(result.body)
    except (ValueError, RecursionError):
        return reason
    # The body of a stand-in holds the reason of the child call that failed.
    if isinstance(body, dict) and isinstance(body.get("reason"), str):
        reason += " " + body["reason"][:MAXIMUM_REASON_CHARACTERS]
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
        matches = _matches_request(json.loads(body), request_id)
    except (ValueError, RecursionError):
        return "not-json"
    return "" if matches else "request-id-body"


def _matches_request(body: Any, request_id: str) -> bool:
    if not isinstance(body, dict) or body.get("request_id") != request_id:
        return False
    children = body.get("children", [])
    if not isinstance(children, list):
        return False
    return all(_matches_request(child, request_id) for child in children)
