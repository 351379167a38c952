"""Requests that a client sends at the entry port before the first is answered.

Guards against unsafe requests that run although an answer before theirs may
close the connection, and against safe ones that wait for no reason.
"""

import pytest

from cranberrymux.decisions.routes import route
from tests.gateway import mesh as mesh_module


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep")
    made.configure(
        mesh_module.make_route("read", "deep"),
        mesh_module.make_route(
            "write", "deep", repeatability=route.Repeatability.ONCE
        ),
    )
    made.held = []
    made.members[1].backend.answer = made.held.append
    return made


def encode(number, name="read"):
    return mesh_module.encode(
        f"/{name}/{number}", headers=[("Request-Id", f"r{number}")]
    )


def answer_held(mesh, *indexes):
    for index in indexes:
        mesh_module.answer_with_proof(mesh.held[index])
    mesh.network.run(0.05)


def held_targets(mesh):
    return [call.head.target for call in mesh.held]


def test_safe_requests_run_side_by_side_and_are_answered_in_order(mesh):
    client = mesh.connect(0)
    client.send(encode(1) + encode(2) + encode(3))
    mesh.network.run(0.05)
    assert held_targets(mesh) == [b"/read/1", b"/read/2", b"/read/3"]
    answer_held(mesh, 2, 1)
    assert client.received == b""
    answer_held(mesh, 0)
    assert client.statuses == [200, 200, 200]
    answers = client.received.split(b"HTTP/1.1 ")[1:]
    for number, answer in enumerate(answers, 1):
        assert answer.endswith(b"answer to r%d" % number)


def test_unsafe_request_runs_only_after_the_answers_before_it(mesh):
    client = mesh.connect(0)
    client.send(encode(1) + encode(2, "write") + encode(3))
    mesh.network.run(0.05)
    assert held_targets(mesh) == [b"/read/1"]
    answer_held(mesh, 0)
    assert held_targets(mesh) == [b"/read/1", b"/write/2", b"/read/3"]
    answer_held(mesh, 2, 1)
    assert client.statuses == [200, 200, 200]


def test_client_that_leaves_ends_the_work_of_all_its_requests(mesh):
    client = mesh.connect(0)
    client.send(encode(1) + encode(2))
    mesh.network.run(0.05)
    client.transport.loseConnection()
    mesh.network.run(0.05)
    assert mesh.members[1].gateway._exit.in_flight == 0


def test_no_unsafe_request_runs_behind_an_answer_that_closes(mesh):
    """Guards against running a request that its client sends again."""
    client = mesh.connect(0)
    client.send(encode(1) + encode(2, "write"))
    mesh.network.run(0.05)
    mesh.members[0].gateway.stop()
    answer_held(mesh, 0)
    assert client.statuses == [200]
    assert client.is_closed
    assert held_targets(mesh) == [b"/read/1"]
