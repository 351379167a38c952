"""Validation of responses against the request they belong to.

Guards against a load that counts a response as done although it is truncated
or belongs to another request, in its header or in the tree of child calls, as
when a node mixes up connections. Also against a refusal whose kind, reason or
retry delay is read wrongly, so that the client resends at the wrong time.
"""

import json

import pytest

from cranberrymux.load import no_response_reason
from cranberrymux.load import outcome_kind
from cranberrymux.load import response
from cranberrymux.load import response_check

Kind = outcome_kind.OutcomeKind


def _check(body, status=200, **headers):
    encoded_headers = {
        name.replace("_", "-").encode(): value.encode()
        for name, value in headers.items()
    }
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return response_check.determine_outcome(
        response.Response(status, encoded_headers, body), "id"
    )


VALID_BODY = {"request_id": "id", "children": []}


@pytest.mark.parametrize(
    "body",
    [
        {"request_id": "x"},
        {},
        [],
        5,
        b"\xff",
        b'{"request_id": "id"',
        {**VALID_BODY, "children": [VALID_BODY, {"request_id": "x"}]},
        {**VALID_BODY, "children": [{**VALID_BODY, "children": [{}]}]},
        {**VALID_BODY, "children": 5},
        {**VALID_BODY, "children": {"request_id": "id"}},
        b"[" * 100_000,
        b'{"request_id": "id", "children": [' * 400 + b"]}" * 400,
    ],
)
def test_body_of_another_request_or_invalid_json_is_wrong(body):
    assert _check(body).kind is Kind.WRONG


def test_request_id_header_of_another_request_is_wrong_at_any_status():
    for status in (200, 503):
        checked = _check(VALID_BODY, status, cranberrymux_request_id="x")
        assert checked.kind is Kind.WRONG


def test_response_with_the_request_id_throughout_is_done():
    assert _check(VALID_BODY, cranberrymux_request_id="id").kind is Kind.DONE
    assert (
        _check({**VALID_BODY, "children": [VALID_BODY, VALID_BODY]}).kind
        is Kind.DONE
    )


def test_answer_header_takes_precedence_over_the_status():
    assert _check({}, 503, cranberrymux_answer="not-run").kind is Kind.NOT_RUN
    assert _check({}, 504, cranberrymux_answer="unknown").kind is Kind.UNKNOWN
    assert _check({}, 200, cranberrymux_answer="failed").kind is Kind.FAILED
    assert _check({}, 200, cranberrymux_answer="x").kind is Kind.WRONG
    assert _check({}, 500).kind is Kind.FAILED


@pytest.mark.parametrize(
    ("headers", "retry_after_ms"),
    [
        ({"retry_after": "2"}, 2000),
        ({"retry_after": "2", "cranberrymux_retry_after_ms": "1500"}, 1500),
        ({"retry_after": "soon"}, None),
        ({}, None),
    ],
)
def test_retry_delay_is_read_from_either_header_in_milliseconds(
    headers, retry_after_ms
):
    assert _check({}, 503, **headers).retry_after_ms == retry_after_ms


def test_reason_comes_from_the_header_else_from_status_and_body():
    assert _check({}, 503, cranberrymux_reason="drained").reason == "drained"
    assert _check({"reason": "no-place"}, 502).reason == "status-502 no-place"
    assert _check(b"x", 500).reason == "status-500"
    assert _check({"reason": 5}, 500).reason == "status-500"


def test_every_missing_response_has_an_outcome_with_its_reason():
    for reason in no_response_reason.NoResponseReason:
        assert (
            response_check.determine_outcome(reason, "id").reason
            == reason.value
        )
    assert (
        response_check.determine_outcome(
            no_response_reason.NoResponseReason.CUT, "id"
        ).kind
        is Kind.CUT
    )
    assert (
        response_check.determine_outcome(
            no_response_reason.NoResponseReason.TIMED_OUT, "id"
        ).kind
        is Kind.UNKNOWN
    )
