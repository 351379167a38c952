"""Nodes tell each other which services are short of capacity.

Guards against trees that begin at a node which has no answer of the short
service itself: the more nodes there are, the fewer answers each of them gets.
"""

import pytest

from cranberrymux.decisions.pressure import root_admission
from cranberrymux.gateway import hop
from tests.gateway import mesh as mesh_module

SHORT = "far"


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep")
    made.configure(mesh_module.make_route("read", "deep"))
    return made


def get_admission(mesh, index) -> root_admission.RootAdmission:
    return mesh.members[index].gateway._parts.entry_admission.root_admission


def make_short(mesh, index):
    now_s = mesh.network.seconds()
    get_admission(mesh, index).note_share(now_s, SHORT, 0.1)
    get_admission(mesh, index).note_share(now_s + 0.05, SHORT, 0.1)


@pytest.mark.parametrize(("informed", "other"), [(0, 1), (1, 0)])
def test_request_and_answer_carry_news(mesh, informed, other):
    make_short(mesh, informed)
    mesh.ask(0, "/read/x")
    assert get_admission(mesh, other).get_service_share(SHORT) < 0.9


def test_no_news_reaches_clients_or_backend_servers(mesh):
    make_short(mesh, 0)
    make_short(mesh, 1)
    client = mesh.ask(0, "/read/x")
    assert hop.SHARE_NEWS not in client.received.lower()
    (call,) = mesh.members[1].backend.calls
    assert hop.SHARE_NEWS not in dict(call.head.headers)


def test_forged_news_of_a_client_is_ignored(mesh):
    """Guards against clients that close a service for others."""
    mesh.ask(0, "/read/x", headers=[(hop.SHARE_NEWS.decode(), "deep=0/0")])
    for index in range(2):
        assert get_admission(mesh, index).get_service_share("deep") == 1.0


def test_answer_tells_the_share_of_its_endpoint(mesh):
    """Guards against callers that learn only when whole trees have ended."""
    meter = mesh.members[1].gateway._exit.work.pressure._meter
    meter._share = 0.1
    mesh.ask(0, "/read/x")
    assert get_admission(mesh, 0).get_service_share("deep") < 0.9
