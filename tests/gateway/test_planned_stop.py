"""Requests at a node that gets SIGTERM in calm and stops within 5 s.

Guards against requests, among them such that may not be repeated, that are
taken late in a stop, passed on and cut off without an answer at its end.
"""

import pytest

from cranberrymux.decisions.routes import route
from tests.gateway import mesh as mesh_module

STOP_S = 5.0  # Of the settings of a member.
INTERVAL_S = 0.1


class Work:
    """Answers each request after a time that tests change."""

    def __init__(self, mesh, member):
        self._mesh = mesh
        self.work_s = 0.0
        self.started = []
        member.backend.answer = self._run

    def _run(self, call):
        self.started.append(dict(call.head.headers).get(b"request-id"))
        if self.work_s:
            self._mesh.network.callLater(self.work_s, self._end, call)
        else:
            self._end(call)

    def _end(self, call):
        mesh_module.answer_with_proof(call)


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep", slots=100)
    made.configure(
        mesh_module.make_route(
            "sign",
            "deep",
            repeatability=route.Repeatability.ONCE,
            timeout_s=20.0,
            attempts=1,
        )
    )
    return made


def send(mesh, number, work):
    """Sends a request to the first node, whose endpoint is another one's."""
    client = mesh.connect(0)
    client.name = b"q%d" % number
    client.send(
        mesh_module.encode(
            "/sign/1",
            method="POST",
            headers=(
                ("request-id", client.name.decode()),
                ("deadline-ms", "20000"),
            ),
        )
    )
    mesh.network.run(0.01)
    client.has_run = client.name in work.started
    return client


def stop_under_load(mesh, work):
    """Stops the first node; returns the clients of requests sent meanwhile."""
    mesh.members[0].gateway.stop()
    clients = []
    for number in range(int(STOP_S / INTERVAL_S)):
        if mesh.members[0].entry_port in mesh.network.factories:
            clients.append(send(mesh, 100 + number, work))
        mesh.network.run(INTERVAL_S - 0.01, step_s=0.005)
        if number % 10 == 0:
            mesh.members[1].announce()
    mesh.network.run(25.0, step_s=0.02)
    return clients


@pytest.mark.parametrize("work_s", [0.3, 1.0, 3.0, 4.0])
def test_what_is_taken_is_answered_and_the_rest_is_refused(mesh, work_s):
    work = Work(mesh, mesh.members[1])
    work.work_s = work_s
    for number in range(4):
        send(mesh, number, work)
    mesh.run_announced(5)
    clients = stop_under_load(mesh, work)
    served = [client for client in clients if client.statuses == [200]]
    refused = [client for client in clients if client.statuses == [503]]
    assert len(served) + len(refused) == len(clients)
    assert all(client.has_run for client in served)
    assert not any(client.name in work.started for client in refused)
    could_end = min(STOP_S / 2, STOP_S - 1.2 * work_s - 0.4) / INTERVAL_S
    assert len(served) >= could_end


def test_what_takes_longer_than_before_is_answered_at_the_end(mesh):
    """It may have run, and is told so; its connection is not just cut."""
    work = Work(mesh, mesh.members[1])
    work.work_s = 0.1
    for number in range(4):
        send(mesh, number, work)
    mesh.run_announced(1)
    work.work_s = 10.0
    clients = stop_under_load(mesh, work)
    run = [client for client in clients if client.has_run]
    assert run
    assert {tuple(client.statuses) for client in run} == {(504,)}
