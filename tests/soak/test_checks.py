"""Checks of the soak: a foreign answer must not go unnoticed.

Guards against a soak that passes although a caller got an answer that was
another request's or not whole.
"""

import json
import types

import pytest

from tests.soak import answers
from tests.soak import checks
from tests.soak import clients
from tests.soak import stall_watch

OWN = answers.Answer(
    200, "r1", answers.make_proof("r1"), answers.make_body("r1")
)
FOREIGN_ANSWERS = {
    "another-id": OWN._replace(request_id="r2"),
    "no-id": OWN._replace(request_id=""),
    "proof-of-another": OWN._replace(proof=answers.make_proof("r2")),
    "no-proof": OWN._replace(proof=""),
    "body-of-another": OWN._replace(body=answers.make_body("r2")),
    "cut-body": OWN._replace(body=OWN.body[:-1]),
    "longer-body": OWN._replace(body=OWN.body + "."),
    "no-body": OWN._replace(body=""),
    "other-success": OWN._replace(status=206, request_id="r2"),
    "failure-of-another": answers.Answer(500, "r2", "", ""),
}


def find_violations(folder, observed, records):
    path = folder / "records.jsonl"
    path.write_text("".join(json.dumps(record) + "\n" for record in records))
    machine = types.SimpleNamespace(
        name="m0",
        records=path,
        node=types.SimpleNamespace(fault_times_s=[]),
    )
    return checks.find_violations(observed, [machine], stall_watch.StallWatch())


def observe(folder, answer):
    """Checks a request that ran once and got an answer."""
    request = clients.ObservedRequest(
        "r1", "m0", True, 0.0, 0.1, answer.status, answer
    )
    return find_violations(
        folder,
        [request],
        [{"at": 0.0, "event": "begin", "backend": "b", "id": "r1"}],
    )


def record_call(folder, answer):
    """Checks a backend server that got an answer to a call of its own."""
    call = {
        "at": 0.0,
        "event": "call-answered",
        "backend": "b",
        "id": "r1",
        "answer": answer,
    }
    return find_violations(folder, [], [call])


@pytest.mark.parametrize("check", [observe, record_call])
@pytest.mark.parametrize(
    "answer",
    [
        OWN,
        answers.Answer(500, "r1", "", ""),
        answers.Answer(504, "", "", "timed out"),
    ],
    ids=["success", "failure", "failure-of-a-node"],
)
def test_own_answer_is_no_violation(tmp_path, check, answer):
    assert check(tmp_path, answer) == []


@pytest.mark.parametrize("check", [observe, record_call])
@pytest.mark.parametrize("kind", FOREIGN_ANSWERS)
def test_foreign_answer_is_reported(tmp_path, check, kind):
    violations = check(tmp_path, FOREIGN_ANSWERS[kind])
    assert violations
    assert all(violation.startswith("MIXED r1 ") for violation in violations)


def test_refusal_of_a_request_that_ran_is_reported(tmp_path):
    refusal = answers.Answer(503, "", "", "")
    assert observe(tmp_path, refusal) == ["REFUSED r1 got 503 and ran"]
