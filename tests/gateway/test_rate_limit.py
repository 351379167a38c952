"""Backend servers that name a rate limit for all instances together.

Guards against a backend server in need that gets more requests than it named,
through any number of nodes, while the node beside it restarts, and against
requests that wait for what the limit does not let through.
"""

import itertools

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


def check_limit(limited, load):
    excesses = rate_limits.find_excesses(
        limited.namings, limited.arrivals, load.bindings
    )
    assert [str(excess) for excess in excesses] == []


def test_limit_holds_for_the_requests_of_all_nodes_together(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    mesh.run_announced(1)
    limited.name(LIMIT_PER_S)
    mesh.run_announced(10)
    check_limit(limited, load)


def test_limit_holds_while_the_node_beside_the_server_restarts(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    limited.name(LIMIT_PER_S)
    mesh.run_announced(5)
    for _ in range(4):
        mesh.restart(3)
        mesh.run_announced(2)
    check_limit(limited, load)


def test_limit_holds_after_a_restart_before_the_first_answer(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    limited.name(LIMIT_PER_S)
    mesh.run_announced(5)
    limited.work_s = 1.5
    mesh.restart(3)
    mesh.run_announced(5)
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
    mesh.run_announced(5)
    load = limited_backend.Load(mesh, ENTRIES, 20)
    mesh.run_announced(2)
    late = load.since(network.seconds() - 1.0)[:-10]
    assert {client.statuses[0] for client in late if client.answered_s} == {200}


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
        mesh.run_announced(6)
    limited.name(None)
    ended_s = mesh.network.seconds()
    mesh.run_announced(3)
    check_limit(limited, load)
    late = [client for client in load.since(ended_s + 1.0) if client.answered_s]
    assert {client.statuses[0] for client in late} == {200}


@pytest.mark.parametrize("value", [b"", b"0", b"-1", b"nan", b"1e400", b"0,3"])
def test_value_that_is_not_valid_limits_nothing(mesh, limited, value):
    limited.headers = [(limited_backend.LIMIT_HEADER, value)]
    load = limited_backend.Load(mesh, ENTRIES, 20)
    mesh.run_announced(2)
    early = load.clients[:-15]
    assert {tuple(client.statuses) for client in early} == {(200,)}


def test_value_that_is_not_valid_does_not_end_a_limit(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    limited.name(LIMIT_PER_S)
    mesh.run_announced(4)
    limited.headers = [(limited_backend.LIMIT_HEADER, b"9" * 5000)]
    mesh.run_announced(5)
    check_limit(limited, load)


def answer_with_failures_and_refusals():
    statuses = itertools.cycle([500, 503])

    def answer(call, headers):
        status = next(statuses)
        more = [(b"not-run", b"1")] if status == 503 else []
        mesh_module.answer_with_id(call, status, [*headers, *more])

    return answer


def answer_with_long_bodies():
    def answer(call, headers):
        body = b"." * 300_000
        proof = mesh_module.PROOF_HEADER
        mesh_module.answer_with_id(call, 200, [proof, *headers], body)

    return answer


@pytest.mark.parametrize(
    "make_answer",
    [answer_with_failures_and_refusals, answer_with_long_bodies],
)
def test_limit_counts_whatever_answer_names_it(mesh, limited, make_answer):
    limited.answer = make_answer()
    limited_backend.Load(mesh, ENTRIES, 20)
    limited.name(LIMIT_PER_S)
    mesh.run_announced(2)
    begun_s = mesh.network.seconds()
    mesh.run_announced(4)
    assert limited.count_since(begun_s) < 1.2 * 4 * LIMIT_PER_S


def test_another_server_at_the_same_address_is_not_limited(mesh, limited):
    load = limited_backend.Load(mesh, ENTRIES, 20)
    limited.name(0.3)
    mesh.run_announced(4)
    limited.name(None)
    mesh.members[3].backend_id = "b-new"
    mesh.members[3].announce(started_ms=2)
    begun_s = mesh.network.seconds()
    mesh.network.run(2.0, step_s=0.002)
    asked = load.since(begun_s + 0.5)[:-15]
    served = [client for client in asked if client.statuses == [200]]
    assert len(served) >= 0.95 * len(asked)
