"""Endpoints with grey failures: they answer, but with errors or never.

Guards against an endpoint that keeps receiving requests because it looks
healthy: it accepts connections, and since failed requests end early its load
is low.
"""

import collections

import pytest

from cranberrymux.decisions.routes import route
from tests.gateway import mesh as mesh_module

ONCE = route.Repeatability.ONCE


@pytest.fixture
def mesh():
    mesh = mesh_module.Mesh("front", "deep", "deep", "deep")
    mesh.configure(
        mesh_module.make_route("read", "deep", attempts=2),
        mesh_module.make_route("write", "deep", repeatability=ONCE),
    )
    return mesh


def answer_with_failure(call):
    """Answers with status 500, as a backend server that cannot work."""
    request_id = dict(call.head.headers)[b"request-id"]
    headers = [mesh_module.PROOF_HEADER, (b"request-id", request_id)]
    call.answer(500, headers, b"failed")


def announce_all(mesh):
    for member in mesh.members:
        member.announce()


def statuses(mesh, path, count):
    """Sends requests one after the other; returns the count by status."""
    counts = collections.Counter()
    for number in range(count):
        headers = [("Request-Id", f"q{number}")]
        counts.update(mesh.ask(0, path, headers=headers, wait=0.01).statuses)
    return counts


def test_non_idempotent_requests_avoid_a_failing_endpoint(mesh):
    mesh.members[2].backend.answer = answer_with_failure
    statuses(mesh, "/write/x", 40)
    counts = statuses(mesh, "/write/x", 100)
    assert counts[200] >= 95


def test_recovered_endpoint_receives_requests_again(mesh):
    mesh.members[2].backend.answer = answer_with_failure
    statuses(mesh, "/write/x", 60)
    mesh.members[2].backend.answer = mesh_module.answer_with_proof
    for _ in range(8):
        announce_all(mesh)
        mesh.network.run(1, step_s=0.1)
    before = len(mesh.members[2].backend.calls)
    statuses(mesh, "/write/x", 90)
    assert len(mesh.members[2].backend.calls) - before >= 10


def test_other_node_learns_of_the_failures_from_one_answer(mesh):
    mesh.members[2].backend.answer = answer_with_failure
    # Without waiting, so that many reach the endpoint.
    for number in range(30):
        headers = [("Request-Id", f"q{number}")]
        mesh.ask(0, "/write/x", headers=headers, wait=0)
    mesh.network.run(0.1)
    view = mesh.members[1].gateway._parts.endpoints.find("n-2")
    assert not view.is_failing(mesh.network.seconds())
    while not view.failure_rate(mesh.network.seconds()):
        mesh.ask(1, "/write/x", wait=0.01)
    assert view.is_failing(mesh.network.seconds())


def test_failed_idempotent_request_succeeds_at_another_endpoint(mesh):
    mesh.members[2].backend.answer = answer_with_failure
    assert statuses(mesh, "/read/x", 40) == {200: 40}


def test_first_failure_is_passed_on_if_the_repeat_is_lost(mesh):
    mesh.members[1].backend.answer = answer_with_failure
    mesh.members[2].backend.answer = lambda call: call.abort()
    mesh.members[3].backend.answer = lambda call: call.abort()
    for number in range(20):
        client = mesh.ask(0, "/read/x", headers=[("Request-Id", f"q{number}")])
        if mesh.members[1].backend.calls:
            break
    is_failure_passed_on = client.statuses == [500]
    assert is_failure_passed_on or client.statuses == [502]
    runs = sum(len(member.backend.calls) for member in mesh.members)
    assert runs <= 2 * (number + 1)


def test_failure_due_to_a_call_does_not_raise_the_failure_rate():
    mesh = mesh_module.Mesh("front", "middle", "middle", "deep")
    mesh.configure(
        mesh_module.make_route("tree", "middle", attempts=2),
        mesh_module.make_route("leaf", "deep", attempts=1, priority=2),
    )
    mesh.members[3].backend.answer = answer_with_failure

    def make_calling_backend(place):
        def answer(call):
            parent = dict(call.head.headers)[b"request-id"].decode()
            headers = [("Request-Id", f"{parent}.1")]
            inner = mesh.connect(place)
            inner.send(mesh_module.encode("/leaf/x", headers=headers))
            mesh.network.callLater(0.05, answer_with_failure, call)

        return answer

    for place in (1, 2):
        mesh.members[place].backend.answer = make_calling_backend(place)
    for number in range(10):
        headers = [("Request-Id", f"q{number}")]
        assert mesh.ask(0, "/tree/x", headers=headers).statuses == [500]
    now_s = mesh.network.seconds()
    endpoints = mesh.members[0].gateway._parts.endpoints
    assert endpoints.find("n-1").failure_rate(now_s) == 0.0
    assert endpoints.find("n-2").failure_rate(now_s) == 0.0
    runs = sum(len(member.backend.calls) for member in mesh.members[1:3])
    assert runs == 10


def test_requests_avoid_an_endpoint_that_stops_answering(mesh):
    """Before its slots are full and before any deadline has passed."""

    def answer_later(call):
        mesh.network.callLater(0.05, mesh_module.answer_with_proof, call)

    for member in mesh.members[1:]:
        member.backend.answer = answer_later
    statuses(mesh, "/write/x", 60)
    mesh.members[2].backend.answer = None
    clients = []
    before = len(mesh.members[2].backend.calls)
    for number in range(80):
        headers = [("Request-Id", f"s{number}")]
        clients.append(mesh.ask(0, "/write/x", headers=headers, wait=0.02))
    mesh.network.run(1.2)
    lost = sum(client.statuses != [200] for client in clients)
    assert lost == len(mesh.members[2].backend.calls) - before
    assert lost <= 9  # At most 9 of its 10 slots are used.
    late_statuses = [client.statuses for client in clients[40:]]
    assert late_statuses.count([200]) >= 38
