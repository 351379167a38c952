"""Restart of a node while its backend server keeps running.

Guards against refusals until the next announcement of the backend server: the
node sends a health check and takes the backend server's id and slots from the
answer.
"""

import pytest

from cranberrymux.decisions.presence import announcement
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
    mesh.network.run(0.1)  # Its processes differ in their start time.
    mesh.members[place].restart()
    mesh.members[place].gateway.updates.configuration_changed(LABEL, mesh.text)
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
    mesh.members[1].gateway.updates.configuration_changed(LABEL, mesh.text)
    mesh.network.run(0.01)
    (check,) = mesh.members[1].backend.calls
    mesh.members[1].announce(slots=20)
    check.answer(
        200, [(b"instance-id", b"b-1"), (b"server-load", b"0,0,5")], b""
    )
    mesh.network.run(0.1)
    assert mesh.members[1].gateway._exit._scheduler.slots == 18


def answer_leaving(call):
    """Answers as a backend server that leaves and still serves for a while."""
    if call.head.target == b"/health":
        call.answer(503, [(b"instance-id", b"b-1")], b"")
    else:
        mesh_module.answer_with_proof(call)


def count_requests(mesh):
    calls = mesh.members[1].backend.calls
    return sum(call.head.target != b"/health" for call in calls)


# Guards against requests to a backend server that has left, as its node was
# restarted after it had acknowledged that, and an announcement comes late.
@pytest.mark.parametrize("is_told", [False, True])
def test_late_announcement_after_a_restart_revives_nobody(mesh, is_told):
    member = mesh.members[1]
    member.backend.answer = answer_leaving
    if is_told:
        member.gateway.leave(member.backend_id)
    restart(mesh, 1)
    mesh.network.run(1.0)
    member.announce()
    for _ in range(20):
        mesh.publish_endpoints()
        assert mesh.ask(0, "/read/x", wait=0.5).statuses == [503]
    assert count_requests(mesh) == 0


def test_departure_of_one_that_is_held_back_is_final(mesh):
    """Guards against an answer to a health check that was sent before."""
    member = mesh.members[1]
    member.backend.answer = answer_leaving
    restart(mesh, 1)
    member.announce()
    member.gateway.leave(member.backend_id)
    member.backend.answer = answer_checks(200, (b"instance-id", b"b-1"))
    mesh.network.run(1.0)
    mesh.publish_endpoints()
    assert mesh.ask(0, "/read/x").statuses == [503]


def test_announcement_is_believed_once_the_health_check_passes(mesh):
    member = mesh.members[1]
    member.backend.answer = answer_leaving
    restart(mesh, 1)
    member.announce()
    mesh.network.run(1.0)
    member.backend.answer = answer_checks(200, (b"instance-id", b"b-1"))
    mesh.network.run(0.7)
    mesh.publish_endpoints()
    assert mesh.ask(0, "/read/x").statuses == [200]


# Guards against a backend server without a health check that is never used.
def test_announcements_that_go_on_are_believed_without_a_health_check(mesh):
    member = mesh.members[1]
    member.backend.answer = answer_leaving
    restart(mesh, 1)
    mesh.run_announced(5)
    assert mesh.ask(0, "/read/x").statuses == [503]
    mesh.run_announced(5)
    assert mesh.ask(0, "/read/x").statuses == [200]


def test_health_checks_end_with_the_announcements(mesh):
    """Guards against checks for ever of a backend server that has left."""
    member = mesh.members[1]
    member.backend.answer = answer_leaving
    restart(mesh, 1)
    member.announce()
    mesh.network.run(10.0)
    count = len(member.backend.calls)
    assert count <= 12
    mesh.network.run(10.0)
    assert len(member.backend.calls) == count


def test_new_start_beside_one_that_drains_is_used_at_once(mesh):
    """Guards against an announcement that is held back without a check."""
    member = mesh.members[1]
    member.backend.answer = answer_checks(200, (b"instance-id", b"b-7"))
    mesh.network.run(0.1)
    member.restart()
    member.announce(announcement.BackendState.DRAINING)
    member.gateway.updates.configuration_changed(LABEL, mesh.text)
    mesh.network.run(0.1)
    member.backend_id = "b-7"
    member.announce(started_ms=2)
    mesh.network.run(0.2)
    mesh.publish_endpoints()
    assert mesh.ask(0, "/read/x").statuses == [200]


def test_new_start_after_a_restart_is_used_at_once(mesh):
    member = mesh.members[1]
    member.backend.answer = answer_leaving
    restart(mesh, 1)
    member.backend.answer = answer_checks(200, (b"instance-id", b"b-7"))
    member.backend_id = "b-7"
    member.announce(started_ms=2)
    mesh.network.run(0.2)
    mesh.publish_endpoints()
    assert mesh.ask(0, "/read/x").statuses == [200]
