"""Requests of client accounts on the whole path.

Guards against keys that reach a backend server or a log line, requests that run
under a key that is unknown or was taken away, forged names of accounts, and
trees whose calls lose the priority of their account, and clients that another
tree runs on behalf of since their requests resemble its calls.
"""

import pytest
import structlog

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.accounts import key_lease
from cranberrymux.decisions.accounts import request_rank
from cranberrymux.decisions.routes import route_document
from cranberrymux.gateway import hop
from cranberrymux.gateway import origin as origin_module
from cranberrymux.node.http import headers as headers_module
from tests.gateway import mesh as mesh_module

KEY = "k-7421-secret"
MILL = client_account.ClientAccount("mill one", (KEY,), priority=0)
LIFETIME_S = 4.0


def configure(mesh, *accounts, label=1):
    document = mesh_module.make_document(
        mesh_module.make_route("read", "deep", priority=2),
        mesh_module.make_route("open", "deep", is_public=True),
        label=label,
    )
    text = route_document.dump(document._replace(accounts=accounts))
    for member in mesh.members:
        member.gateway.updates.configuration_changed(label, text)


def require_confirmations(mesh):
    for member in mesh.members:
        member.gateway._parts.key_lease = key_lease.KeyLease(LIFETIME_S)


def confirm(mesh, version):
    for member in mesh.members:
        now_s = member.gateway._clock.now_s()
        member.gateway.updates.configuration_confirmed(
            version, now_s, now_s + 0.5
        )


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep", "deep")
    configure(made, MILL)
    return made


def reached_headers(mesh):
    return [
        dict(call.head.headers)
        for member in mesh.members
        for call in member.backend.calls
    ]


def test_hands_the_name_and_not_the_key_to_the_backend_server(mesh):
    with structlog.testing.capture_logs() as lines:
        client = mesh.ask(
            0, "/read/x", headers=[("X-Api-Key", KEY), ("Tenant", "forged")]
        )
    assert client.statuses == [200]
    (headers,) = reached_headers(mesh)
    assert headers[b"tenant"] == b"mill one"
    assert b"x-api-key" not in headers
    assert KEY not in repr(lines)
    assert KEY not in mesh.members[0].gateway._parts.metrics.encode().decode()


@pytest.mark.parametrize("headers", [[], [("X-Api-Key", "unknown")]])
def test_answers_401_without_a_known_key(mesh, headers):
    client = mesh.ask(0, "/read/x", headers=headers)
    assert client.statuses == [401]
    assert reached_headers(mesh) == []


def test_needs_no_key_on_a_public_route_and_names_no_account(mesh):
    client = mesh.ask(
        0, "/open/x", headers=[("X-Api-Key", "unknown"), ("Tenant", "forged")]
    )
    assert client.statuses == [200]
    (headers,) = reached_headers(mesh)
    assert b"tenant" not in headers
    assert b"x-api-key" not in headers


def test_a_key_that_a_newer_version_lacks_is_unknown(mesh):
    configure(mesh, MILL._replace(keys=("another",)), label=2)
    client = mesh.ask(0, "/read/x", headers=[("X-Api-Key", KEY)])
    assert client.statuses == [401]


def test_accepts_keys_only_while_the_newest_version_is_confirmed(mesh):
    require_confirmations(mesh)
    sent = [("X-Api-Key", KEY)]
    assert mesh.ask(0, "/read/x", headers=sent).statuses == [503]
    assert mesh.ask(0, "/open/x").statuses == [200]
    confirm(mesh, 1)
    assert mesh.ask(0, "/read/x", headers=sent).statuses == [200]
    mesh.network.run(LIFETIME_S)
    answer = mesh.ask(0, "/read/x", headers=sent)
    assert answer.statuses == [503]
    assert b"retry-after" in answer.received.lower()


def test_a_newer_version_that_this_node_lacks_ends_no_sooner_renewed_lease(
    mesh,
):
    require_confirmations(mesh)
    confirm(mesh, 2)
    client = mesh.ask(0, "/read/x", headers=[("X-Api-Key", KEY)])
    assert client.statuses == [503]


def test_the_priority_of_the_account_goes_before_that_of_the_route(mesh):
    admission = mesh.members[0].gateway._parts.entry_admission.root_admission
    mesh.ask(0, "/read/x", headers=[("X-Api-Key", KEY)])
    ranks = {flow.priority for flow in admission._flows}
    assert {rank // request_rank.ROUTE_PRIORITIES for rank in ranks} == {0}


def test_a_root_that_makes_no_calls_starts_beside_calls_of_equal_priority(mesh):
    sent = [("X-Api-Key", KEY)]
    mesh.ask(0, "/read/x", headers=sent)
    route = mesh_module.make_route("read", "deep", priority=2)
    origin = origin_module.Origin(
        mesh.members[0].gateway._parts,
        route,
        headers_module.Headers(()),
        mesh.members[0].gateway._clock.now_s(),
        MILL,
    )
    tree_context = origin.admit(mesh.members[0].gateway._clock.now_s())
    rank = request_rank.find_rank(route, MILL, has_accounts=True)
    assert tree_context.rank == rank - hop.CALL_RANK_BONUS


PARENT_ID = b"r7"


def make_origin(mesh, *headers, account=None, is_public=False):
    """Returns the origin of a request beside a running one of another account.

    Its id extends that of the running request, as those of calls do.
    """
    parts = mesh.members[0].gateway._parts
    now_s = mesh.members[0].gateway._clock.now_s()
    tree_context = hop.TreeContext(3, 1.0, account="other")
    parts.running_requests.begin(1, tree_context)
    parts.parent_matcher.add(1, PARENT_ID, now_s + 1.0)
    dialect = mesh.members[0].settings.dialect
    return origin_module.Origin(
        parts,
        mesh_module.make_route("open", "deep", is_public=is_public),
        headers_module.Headers(
            (
                (dialect.request_id, PARENT_ID + b".1"),
                (dialect.deadline_ms, b"1000"),
                *headers,
            )
        ),
        now_s,
        account,
    )


@pytest.mark.parametrize("is_public", [False, True])
def test_a_request_with_a_key_is_a_root_whatever_it_resembles(mesh, is_public):
    """On a public route the key is not looked up, and names no account."""
    account = None if is_public else MILL
    key = (b"x-api-key", KEY.encode())
    origin = make_origin(mesh, key, account=account, is_public=is_public)
    assert origin.is_root
    tree_context = origin.admit(mesh.members[0].gateway._clock.now_s())
    assert tree_context.account == ("" if is_public else MILL.name)


def test_a_request_without_a_key_is_the_call_that_its_id_tells(mesh):
    origin = make_origin(mesh, is_public=True)
    assert not origin.is_root
    tree_context = origin.admit(mesh.members[0].gateway._clock.now_s())
    assert tree_context.account == "other"


def test_a_key_says_nothing_where_no_account_is_configured():
    """The header belongs to the operator's services then."""
    mesh = mesh_module.Mesh("front", "deep")
    configure(mesh)
    assert not make_origin(mesh, (b"x-api-key", b"any")).is_root
