"""Backend servers that name a rate limit for all instances together.

Guards against a backend server in need that gets more requests than it named,
through any number of nodes, while the node beside it restarts, and against
requests that wait for what the limit does not let through.
"""

import pytest

from tests.fakes import raw_client
from tests.gateway import limited_backend
from tests.gateway import mesh as mesh_module
from tests.soak import rate_limits

LIMIT_PER_S = 6.3
ENTRIES = (0, 1, 2)


@pytest.fixture
def mesh():
    """Three nodes that send requests, and one with the limited server."""
    made = mesh_module.Mesh("front", "front", "front", "deep", slots=50)
    made.configure(mesh_module.make_route("read", "deep", timeout_s=3.0))
    return made


@pytest.fixture
def limited(mesh):
    return limited_backend.LimitedBackend(mesh.members[3])


def run(mesh, seconds):
    """Lets time pass, in which the backend servers announce themselves."""
    for _ in range(round(seconds)):
        for member in mesh.members:
            member.announce()
        mesh.network.run(1.0, step_s=0.002)


def check_limit(limited, load):
    excesses = rate_limits.find_excesses(
        limited.namings, limited.arrivals, load.bindings
    )
    assert [str(one) for one in excesses] == []


def test_limit_holds_for_the_requests_of_all_nodes_together(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    run(mesh, 1)
    limited.name(LIMIT_PER_S)
    run(mesh, 10)
    check_limit(limited, load)


def test_limit_holds_while_the_node_beside_the_server_restarts(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    limited.name(LIMIT_PER_S)
    run(mesh, 5)
    for _ in range(4):
        mesh.members[3].restart()
        mesh.members[3].gateway.configuration_changed(1, mesh.text)
        run(mesh, 2)
    check_limit(limited, load)


def test_limit_holds_after_a_restart_before_the_first_answer(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    limited.name(LIMIT_PER_S)
    run(mesh, 5)
    limited.work_s = 1.5
    mesh.members[3].restart()
    mesh.members[3].gateway.configuration_changed(1, mesh.text)
    run(mesh, 5)
    check_limit(limited, load)


def test_limit_told_by_a_sender_ends_with_the_first_answer(mesh, limited):
    """Guards against a forged or outdated limit that stays in force."""
    headers = [("Request-Id", "n0-1"), ("Cranberrymux-Known-Limit", "0.3")]
    network = mesh.network
    hop_port = mesh.members[3].entry_port + 1
    client = raw_client.RawClient()
    network.connect(hop_port, client)
    headers.append(("Cranberrymux-Target", mesh.members[3].backend_id))
    client.send(mesh_module.encode("/read/x", headers=headers))
    run(mesh, 5)
    load = limited_backend.Load(mesh, ENTRIES, 20)
    run(mesh, 2)
    late = load.since(network.seconds() - 1.0)[:-10]
    assert {one.statuses[0] for one in late if one.answered_s} == {200}


def test_limit_forged_by_a_client_changes_nothing(mesh, limited):
    headers = [
        ("Cranberrymux-Known-Limit", "0.3"),
        ("Cranberrymux-Rate-Limit", "0.3"),
        ("Server-Limit", "0.3"),
    ]
    for number in range(40):
        id_header = ("Request-Id", f"n0-{number}")
        mesh.ask(0, "/read/x", headers=[id_header, *headers], wait=0.01)
    mesh.network.run(1.0)
    assert len(limited.arrivals) == 40


def test_limit_that_is_changed_and_ended_is_followed(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    for per_s in (12.0, LIMIT_PER_S, 30.0):
        limited.name(per_s)
        run(mesh, 6)
    limited.name(None)
    ended_s = mesh.network.seconds()
    run(mesh, 3)
    check_limit(limited, load)
    late = [one for one in load.since(ended_s + 1.0) if one.answered_s]
    assert {one.statuses[0] for one in late} == {200}
