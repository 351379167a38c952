"""Log lines of requests: one per failure and a sample of the others.

Guards against failures that leave no line with their cause, and against a
log that grows with every request that was served.
"""

import pytest
from structlog import testing

from cranberrymux.gateway import parts as parts_module
from tests.gateway import mesh as mesh_module
from tests.gateway import test_grey_endpoints

REQUEST_FIELDS = {
    "reason",
    "request_id",
    "route",
    "service",
    "version",
    "share",
    "tried",
    "sent",
    "elapsed_ms",
    "left_ms",
    "detail",
}


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep", "deep")
    made.configure(mesh_module.make_route("read", "deep"))
    return made


def find_lines(event, logs):
    return [line for line in logs if line["event"] == event]


def ask(mesh, count=1):
    with testing.capture_logs() as logs:
        for number in range(count):
            headers = [("Request-Id", f"q{number}")]
            mesh.ask(0, "/read/x", headers=headers, wait=0.02)
    return logs


def test_logs_the_failed_attempt_and_the_end_when_all_endpoints_fail(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = test_grey_endpoints.answer_with_failure
    logs = ask(mesh)
    (again,) = find_lines("request-tried-again", logs)
    (ended,) = find_lines("request-ended", logs)
    assert again["reason"] == ended["reason"] == "backend-failed"
    assert set(again) >= REQUEST_FIELDS and set(ended) >= REQUEST_FIELDS
    assert ended["request_id"] == "q0"
    assert set(ended["tried"]) == {"n-1", "n-2"}
    assert ended["detail"] == "status 500"


def test_logs_lost_as_the_reason_when_answers_are_lost(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = lambda call: call.abort()
    logs = ask(mesh)
    assert [
        line["reason"] for line in find_lines("request-tried-again", logs)
    ] == ["lost"]
    assert [line["reason"] for line in find_lines("request-ended", logs)] == [
        "lost"
    ]


def test_logs_one_of_many_served_requests(mesh):
    count = parts_module.SERVED_PER_LOG_LINE + 1
    logs = ask(mesh, count)
    served = find_lines("request-served", logs)
    assert [line["request_id"] for line in served] == ["q0", f"q{count - 1}"]
    assert set(served[0]) >= REQUEST_FIELDS
    assert not find_lines("request-ended", logs)


def test_logs_when_a_backend_server_degrades_and_when_it_recovers(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = test_grey_endpoints.answer_with_failure
    logs = ask(mesh, 12)
    for member in mesh.members[1:]:
        member.backend.answer = mesh_module.answer_with_proof
    logs += ask(mesh, 60)
    with testing.capture_logs() as later:
        mesh.network.run(12, step_s=0.1)
    logs += later
    degraded = find_lines("backend-degraded", logs)
    recovered = find_lines("backend-recovered", logs)
    assert {line["backend_id"] for line in degraded} == {"b-1", "b-2"}
    assert len(recovered) == len(degraded)
    assert all(line["failing"] > 0.3 for line in degraded)
