"""The lines on requests: one for each that went wrong, a few on the others."""

import pytest
from structlog import testing

from cranberrymux.gateway import parts as parts_module
from tests.gateway import mesh as mesh_module
from tests.gateway import test_grey_endpoints

FIELDS = {
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
    made.put(mesh_module.make_route("read", "deep"))
    return made


def lines_of(event, logs):
    return [one for one in logs if one["event"] == event]


def ask(mesh, count=1):
    with testing.capture_logs() as logs:
        for number in range(count):
            headers = [("Request-Id", f"q{number}")]
            mesh.ask(0, "/read/x", headers=headers, wait=0.02)
    return logs


def test_a_try_that_failed_and_the_end_have_a_line_each(mesh):
    for one in mesh.members[1:]:
        one.backend.answer = test_grey_endpoints.answer_with_failure
    logs = ask(mesh)
    (again,) = lines_of("request-tried-again", logs)
    (ended,) = lines_of("request-ended", logs)
    assert again["reason"] == ended["reason"] == "backend-failed"
    assert set(again) >= FIELDS and set(ended) >= FIELDS
    assert ended["request_id"] == "q0"
    assert set(ended["tried"]) == {"n-1", "n-2"}
    assert ended["detail"] == "status 500"


def test_an_answer_that_was_lost_tells_so(mesh):
    for one in mesh.members[1:]:
        one.backend.answer = lambda call: call.abort()
    logs = ask(mesh)
    assert [x["reason"] for x in lines_of("request-tried-again", logs)] == [
        "lost"
    ]
    assert [x["reason"] for x in lines_of("request-ended", logs)] == ["lost"]


def test_one_served_request_in_many_has_a_line(mesh):
    count = parts_module.SERVED_FOR_LINE + 1
    logs = ask(mesh, count)
    served = lines_of("request-served", logs)
    assert [one["request_id"] for one in served] == ["q0", f"q{count - 1}"]
    assert set(served[0]) >= FIELDS
    assert not lines_of("request-ended", logs)


def test_a_backend_server_that_fails_and_is_well_again_has_two_lines(mesh):
    for one in mesh.members[1:]:
        one.backend.answer = test_grey_endpoints.answer_with_failure
    logs = ask(mesh, 12)
    for one in mesh.members[1:]:
        one.backend.answer = mesh_module.answer_with_proof
    logs += ask(mesh, 60)
    with testing.capture_logs() as later:
        mesh.network.run(12, step_s=0.1)
    logs += later
    degraded = lines_of("backend-degraded", logs)
    recovered = lines_of("backend-recovered", logs)
    assert {one["backend_id"] for one in degraded} == {"b-1", "b-2"}
    assert len(recovered) == len(degraded)
    assert all(one["failing"] > 0.3 for one in degraded)
