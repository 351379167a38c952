"""Requests that a client sends at the entry port before the first is answered.

Guards against unsafe requests that run although an answer before theirs may
close the connection, and against safe ones that wait for no reason.
"""

import pytest

from tests.gateway import mesh as mesh_module


@pytest.fixture
def held(mesh):
    """Calls that the backend server got and has not answered."""
    calls = []
    mesh.members[1].backend.answer = calls.append
    return calls


def encode(number, name="read"):
    return mesh_module.encode(
        f"/{name}/{number}", headers=[("Request-Id", f"r{number}")]
    )


def answer_held(mesh, held, *indexes):
    for index in indexes:
        mesh_module.answer_with_proof(held[index])
    mesh.network.run(0.05)


def get_targets(held):
    return [call.head.target for call in held]


def test_safe_requests_run_side_by_side_and_are_answered_in_order(mesh, held):
    client = mesh.connect(0)
    client.send(encode(1) + encode(2) + encode(3))
    mesh.network.run(0.05)
    assert get_targets(held) == [b"/read/1", b"/read/2", b"/read/3"]
    answer_held(mesh, held, 2, 1)
    assert client.received == b""
    answer_held(mesh, held, 0)
    assert client.statuses == [200, 200, 200]
    answers = client.received.split(b"HTTP/1.1 ")[1:]
    for number, answer in enumerate(answers, 1):
        assert answer.endswith(b"answer to r%d" % number)


def test_unsafe_request_runs_only_after_the_answers_before_it(mesh, held):
    client = mesh.connect(0)
    client.send(encode(1) + encode(2, "write") + encode(3))
    mesh.network.run(0.05)
    assert get_targets(held) == [b"/read/1"]
    answer_held(mesh, held, 0)
    assert get_targets(held) == [b"/read/1", b"/write/2", b"/read/3"]
    answer_held(mesh, held, 2, 1)
    assert client.statuses == [200, 200, 200]


def test_client_that_leaves_ends_the_work_of_all_its_requests(mesh, held):
    client = mesh.connect(0)
    client.send(encode(1) + encode(2))
    mesh.network.run(0.05)
    client.transport.loseConnection()
    mesh.network.run(0.05)
    assert mesh.members[1].gateway._exit.in_flight == 0


def test_client_that_leaves_behind_many_requests_ends_their_work(mesh, held):
    """Guards against endpoints at work for a client that is not read."""
    client = mesh.connect(0)
    client.send(b"".join(map(encode, range(12))))
    mesh.network.run(0.05)
    client.transport.loseConnection()
    mesh.network.run(0.05)
    assert mesh.members[1].gateway._exit.in_flight == 0
    assert len(held) == 8


def test_no_unsafe_request_runs_behind_an_answer_that_closes(mesh, held):
    """Guards against running a request that its client sends again."""
    client = mesh.connect(0)
    client.send(encode(1) + encode(2, "write"))
    mesh.network.run(0.05)
    mesh.members[0].gateway.stop()
    answer_held(mesh, held, 0)
    assert client.statuses == [200]
    assert client.is_closed
    assert get_targets(held) == [b"/read/1"]
