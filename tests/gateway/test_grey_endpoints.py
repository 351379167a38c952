"""Endpoints that answer but fail: they look healthy, and their load is low."""

import collections

import pytest

from cranberrymux.decisions.routes import route
from tests.gateway import mesh as mesh_module

ONCE = route.Repeatability.ONCE


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep", "deep", "deep")
    made.configure(
        mesh_module.make_route("read", "deep", attempts=2),
        mesh_module.make_route("write", "deep", repeatability=ONCE),
    )
    return made


def fail(call):
    """Answers as a backend server does that cannot do its work."""
    request_id = dict(call.head.headers)[b"request-id"]
    headers = [mesh_module.PROOF_HEADER, (b"request-id", request_id)]
    call.answer(500, headers, b"failed")


def announce_all(mesh):
    for one in mesh.members:
        one.announce()


def statuses(mesh, path, count):
    ended = collections.Counter()
    for number in range(count):
        headers = [("Request-Id", f"q{number}")]
        ended.update(mesh.ask(0, path, headers=headers, wait=0.01).statuses)
    return ended


def test_work_that_must_not_run_twice_leaves_an_endpoint_that_fails(mesh):
    mesh.members[2].backend.answer = fail
    statuses(mesh, "/write/x", 40)
    ended = statuses(mesh, "/write/x", 100)
    assert ended[200] >= 95


def test_an_endpoint_that_works_again_gets_work_again(mesh):
    mesh.members[2].backend.answer = fail
    statuses(mesh, "/write/x", 60)
    mesh.members[2].backend.answer = mesh_module.answer_with_proof
    for _ in range(8):
        announce_all(mesh)
        mesh.network.run(1, step_s=0.1)
    before = len(mesh.members[2].backend.calls)
    statuses(mesh, "/write/x", 90)
    assert len(mesh.members[2].backend.calls) - before >= 10


def test_other_nodes_learn_of_it_from_one_answer(mesh):
    mesh.members[2].backend.answer = fail
    for number in range(30):  # At once, so that many reach it.
        headers = [("Request-Id", f"q{number}")]
        mesh.ask(0, "/write/x", headers=headers, wait=0)
    mesh.network.run(0.1)
    view = mesh.members[1].gateway._parts.endpoints.find("n-2")
    assert not view.is_failing(mesh.network.seconds())
    while not view.failure_rate(mesh.network.seconds()):
        mesh.ask(1, "/write/x", wait=0.01)
    assert view.is_failing(mesh.network.seconds())


def test_tries_an_idempotent_request_at_another_endpoint(mesh):
    mesh.members[2].backend.answer = fail
    assert statuses(mesh, "/read/x", 40) == {200: 40}


def test_passes_the_failure_on_when_the_other_endpoint_is_lost(mesh):
    mesh.members[1].backend.answer = fail
    mesh.members[2].backend.answer = lambda call: call.abort()
    mesh.members[3].backend.answer = lambda call: call.abort()
    for number in range(20):
        client = mesh.ask(0, "/read/x", headers=[("Request-Id", f"q{number}")])
        if mesh.members[1].backend.calls:
            break
    is_failed_first = client.statuses == [500]
    assert is_failed_first or client.statuses == [502]
    runs = sum(len(one.backend.calls) for one in mesh.members)
    assert runs <= 2 * (number + 1)


def test_a_failure_due_to_a_call_is_not_held_against_the_endpoint():
    mesh = mesh_module.Mesh("front", "middle", "middle", "deep")
    mesh.configure(
        mesh_module.make_route("tree", "middle", attempts=2),
        mesh_module.make_route("leaf", "deep", attempts=1, priority=2),
    )
    mesh.members[3].backend.answer = fail

    def call_on(place):
        def answer(call):
            parent = dict(call.head.headers)[b"request-id"].decode()
            headers = [("Request-Id", f"{parent}.1")]
            inner = mesh.connect(place)
            inner.send(mesh_module.encode("/leaf/x", headers=headers))
            mesh.network.callLater(0.05, fail, call)

        return answer

    for place in (1, 2):
        mesh.members[place].backend.answer = call_on(place)
    for number in range(10):
        headers = [("Request-Id", f"q{number}")]
        assert mesh.ask(0, "/tree/x", headers=headers).statuses == [500]
    now_s = mesh.network.seconds()
    endpoints = mesh.members[0].gateway._parts.endpoints
    assert endpoints.find("n-1").failure_rate(now_s) == 0.0
    assert endpoints.find("n-2").failure_rate(now_s) == 0.0
    runs = sum(len(one.backend.calls) for one in mesh.members[1:3])
    assert runs == 10


def test_requests_leave_an_endpoint_that_has_fallen_silent(mesh):
    """Its slots are not full yet, and no deadline has passed."""

    def answer_later(call):
        mesh.network.callLater(0.05, mesh_module.answer_with_proof, call)

    for one in mesh.members[1:]:
        one.backend.answer = answer_later
    statuses(mesh, "/write/x", 60)
    mesh.members[2].backend.answer = None
    clients = []
    before = len(mesh.members[2].backend.calls)
    for number in range(80):
        headers = [("Request-Id", f"s{number}")]
        clients.append(mesh.ask(0, "/write/x", headers=headers, wait=0.02))
    mesh.network.run(1.2)
    lost = sum(one.statuses != [200] for one in clients)
    assert lost == len(mesh.members[2].backend.calls) - before
    assert lost <= 9  # Of 10 slots, one stays free.
    handed_late = [one.statuses for one in clients[40:]]
    assert handed_late.count([200]) >= 38
