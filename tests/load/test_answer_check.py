"""Which answers are whole and belong to their request."""

import json

import pytest

from cranberrymux.load import answer_check
from cranberrymux.load import lost
from cranberrymux.load import outcome_kind
from cranberrymux.load import response

Kind = outcome_kind.OutcomeKind


def _check(body, status=200, **headers):
    named = {
        name.replace("_", "-").encode(): value.encode()
        for name, value in headers.items()
    }
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return answer_check.check(response.Response(status, named, body), "id")


OWN = {"request_id": "id", "children": []}


@pytest.mark.parametrize(
    "body",
    [
        {"request_id": "x"},
        {},
        [],
        5,
        b"\xff",
        b'{"request_id": "id"',
        {**OWN, "children": [OWN, {"request_id": "x"}]},
        {**OWN, "children": [{**OWN, "children": [{}]}]},
        {**OWN, "children": 5},
        {**OWN, "children": {"request_id": "id"}},
        b"[" * 100_000,
        b'{"request_id": "id", "children": [' * 400 + b"]}" * 400,
    ],
)
def test_a_body_of_another_request_is_wrong(body):
    assert _check(body).kind is Kind.WRONG


def test_a_header_of_another_request_is_wrong():
    for status in (200, 503):
        judged = _check(OWN, status, cranberrymux_request_id="x")
        assert judged.kind is Kind.WRONG


def test_own_answers_are_done():
    assert _check(OWN, cranberrymux_request_id="id").kind is Kind.DONE
    assert _check({**OWN, "children": [OWN, OWN]}).kind is Kind.DONE


def test_the_named_kind_goes_before_the_status():
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
def test_reads_when_to_come_back(headers, retry_after_ms):
    assert _check({}, 503, **headers).retry_after_ms == retry_after_ms


def test_reasons():
    assert _check({}, 503, cranberrymux_reason="drained").reason == "drained"
    assert _check({"reason": "no-place"}, 502).reason == "status-502 no-place"
    assert _check(b"x", 500).reason == "status-500"
    assert _check({"reason": 5}, 500).reason == "status-500"


def test_every_loss_has_an_outcome():
    for one in lost.Lost:
        assert answer_check.check(one, "id").reason == one.value
    assert answer_check.check(lost.Lost.CUT, "id").kind is Kind.CUT
    assert answer_check.check(lost.Lost.TIMED_OUT, "id").kind is Kind.UNKNOWN
