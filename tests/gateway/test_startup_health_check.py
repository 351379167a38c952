"""Restart of a node while its backend server keeps running.

Guards against refusals until the next announcement of the backend server: the
node sends a health check and takes the backend server's id and slots from the
answer.
"""

import pytest

from tests.gateway import mesh as mesh_module

LABEL = 2


@pytest.fixture
def mesh():
    mesh = mesh_module.Mesh("front", "deep")
    mesh.configure(mesh_module.make_route("read", "deep"))
    return mesh


def answer_checks(status, *headers):
    """Makes a backend server that answers health checks with `headers`."""

    def answer(call):
        if call.head.target == b"/health":
            call.answer(status, list(headers), b"")
        else:
            mesh_module.answer_with_proof(call)

    return answer


def restart(mesh, place):
    """Restarts a gateway; its health check is answered at once."""
    mesh.members[place].restart()
    mesh.members[place].gateway.configuration_changed(LABEL, mesh.text)
    mesh.network.run(0.1)


def test_requests_run_after_a_restart_without_an_announcement(mesh):
    mesh.members[1].backend.answer = answer_checks(
        200, (b"instance-id", b"b-1"), (b"server-load", b"0,0,10")
    )
    restart(mesh, 1)
    assert mesh.ask(0, "/read/x").statuses == [200]
    (check, _) = mesh.members[1].backend.calls
    assert check.head.target == b"/health"
    assert mesh.members[1].gateway._exit._scheduler.slots == 9


@pytest.mark.parametrize("load", [b"0,0,10,100", b"3,1,10,250", b"0, 0, 10"])
def test_load_figures_with_a_slowness_announce_the_backend_server(mesh, load):
    """Guards against refusals after a restart beside a server that says it."""
    mesh.members[1].backend.answer = answer_checks(
        200, (b"instance-id", b"b-1"), (b"server-load", load)
    )
    restart(mesh, 1)
    assert mesh.ask(0, "/read/x").statuses == [200]
    assert mesh.members[1].gateway._exit._scheduler.slots == 9


@pytest.mark.parametrize(
    "answer",
    [
        answer_checks(
            503, (b"instance-id", b"b-1"), (b"server-load", b"0,0,9")
        ),
        answer_checks(200, (b"instance-id", b"b-1")),
        answer_checks(200, (b"server-load", b"0,0,9")),
        answer_checks(200, (b"instance-id", b"b-1"), (b"server-load", b"9")),
        answer_checks(
            200, (b"instance-id", b"b-1"), (b"server-load", b"0,0,9,100,1")
        ),
        answer_checks(
            200, (b"instance-id", b"b-1"), (b"server-load", b"0,0,0,100")
        ),
        lambda call: call.abort(),
        None,
    ],
)
def test_unusable_health_check_answer_waits_for_an_announcement(mesh, answer):
    mesh.members[1].backend.answer = answer
    restart(mesh, 1)
    mesh.network.run(1.2)
    client = mesh.ask(0, "/read/x")
    assert client.statuses == [503]
    mesh.members[1].announce()
    mesh.members[1].backend.answer = mesh_module.answer_with_proof
    mesh.network.run(0.6)
    assert mesh.ask(0, "/read/x").statuses == [200]


def test_other_backend_server_at_the_address_receives_no_request(mesh):
    mesh.members[1].backend.answer = answer_checks(
        200, (b"instance-id", b"other"), (b"server-load", b"0,0,10")
    )
    restart(mesh, 1)
    assert mesh.ask(0, "/read/x").statuses == [503]


def test_announcement_before_the_health_check_answer_takes_precedence(mesh):
    mesh.members[1].backend.answer = None
    mesh.members[1].restart()
    mesh.members[1].gateway.configuration_changed(LABEL, mesh.text)
    mesh.network.run(0.01)
    (check,) = mesh.members[1].backend.calls
    mesh.members[1].announce(slots=20)
    check.answer(
        200, [(b"instance-id", b"b-1"), (b"server-load", b"0,0,5")], b""
    )
    mesh.network.run(0.1)
    assert mesh.members[1].gateway._exit._scheduler.slots == 18
