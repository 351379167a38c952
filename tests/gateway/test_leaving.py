"""Backend servers that say in their answers that they are leaving.

Guards against requests to such a server long after a node has passed on its
word: while announcements still say that it serves, and after a restart of the
node beside it.
"""

import pytest

from tests.gateway import limited_backend
from tests.gateway import mesh as mesh_module

# Time after an instance passed such an answer on from which it sends none.
DRAIN_S = 2.0
LEAVING = (b"server-leaving", b"1")


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "front", "deep", "deep")
    made.configure(mesh_module.make_route("read", "deep"))
    return made


@pytest.fixture
def leaving(mesh):
    """The first backend server of the service; the second one stays."""
    limited_backend.LimitedBackend(mesh.members[3])
    return limited_backend.LimitedBackend(mesh.members[2])


def test_leaving_server_gets_no_requests_though_announced_as_serving(
    mesh, leaving
):
    load = limited_backend.Load(mesh, (0, 1, 2), 10)
    mesh.run_announced(1)
    leaving.headers = [LEAVING]
    mesh.run_announced(1)
    told_s = mesh.network.seconds()
    mesh.run_announced(6)
    assert leaving.count_since(told_s + DRAIN_S) == 0
    served = [
        client for client in load.since(told_s + DRAIN_S) if client.answered_s
    ]
    assert {client.statuses[0] for client in served} == {200}


def test_leaving_server_gets_no_requests_after_a_restart_of_its_node(
    mesh, leaving
):
    limited_backend.Load(mesh, (0, 1), 10)
    leaving.headers = [LEAVING]
    mesh.run_announced(1)
    told_s = mesh.network.seconds()
    mesh.restart(2)
    mesh.run_announced(6)
    assert leaving.count_since(told_s + DRAIN_S) == 0


def test_departure_before_the_first_announcement_is_final(mesh, leaving):
    """A node that has restarted knows no start time of its backend server."""
    member = mesh.members[2]
    mesh.restart(2)
    mesh.network.run(0.1)
    assert member.gateway._presence.current.started_ms == 0
    member.gateway.leave(member.backend_id)
    member.announce()
    assert not member.gateway._presence.is_serving(mesh.network.seconds())


def test_new_process_under_the_same_id_is_used_again(mesh, leaving):
    load = limited_backend.Load(mesh, (0, 1), 10)
    leaving.headers = [LEAVING]
    mesh.run_announced(1)
    leaving.headers = []
    mesh.members[2].announce(started_ms=2)
    begun_s = mesh.network.seconds()
    mesh.network.run(2.0, step_s=0.002)
    load.stop()
    assert leaving.count_since(begun_s) > 10


@pytest.mark.parametrize("value", [b"", b"0", b"true", b"1, 1", b"1" * 5000])
def test_other_value_of_the_header_changes_nothing(mesh, leaving, value):
    limited_backend.Load(mesh, (0, 1), 10)
    leaving.headers = [(b"server-leaving", value)]
    mesh.run_announced(3)
    assert leaving.count_since(1.0) >= 20


def test_health_check_answer_that_says_so_is_believed(mesh, leaving):
    leaving.health_headers = [LEAVING]
    member = mesh.members[2]
    mesh.restart(2)
    mesh.network.run(0.1)
    member.announce()
    assert not member.gateway._presence.is_serving(mesh.network.seconds())
