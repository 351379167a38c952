"""Announcements that no backend server of today sends, at running nodes.

Guards against a node that loses its control instances, ends a connection
without an answer or serves no more, because another writer sent it one.
"""

import json

import pytest

from cranberrymux.platform import node_ports
from tests.fakes import raw_client
from tests.gateway import mesh as mesh_module
from tests.gateway import mesh_control

DIGITS = "9" * 40
ODD_FIELDS = [
    ("seq", int(DIGITS)),
    ("seq", 4.5),
    ("seq", True),
    ("seq", None),
    ("born", int(DIGITS)),
    ("born", 1e300),
    ("born", [1]),
    ("concurrency", 0),
    ("concurrency", -1),
    ("concurrency", 1 << 31),
    ("concurrency", int(DIGITS)),
    ("concurrency", {}),
    ("cold_left", "9" * 400 + "ms"),
    ("cold_left", 0),
    ("service", "\ud800"),
    ("service", ["deep"]),
    ("service", ""),
    ("addr", "10.0.0.1:0"),
    ("addr", "10.0.0.1:70000"),
    ("addr", "10.0.0.1:" + "9" * 3000),
    ("addr", "\ud800:80"),
    ("addr", None),
    ("zone", "\ud800"),
    ("zone", 7),
    ("state", ["ready"]),
    ("state", "gone"),
    ("state", None),
]
ODD_BODIES = [
    b"",
    b"\xff",
    b"NaN",
    b"[]",
    b"[" * 4000,
    b'{"a":' * 800,
    b"[" * 2000 + b"]" * 2000,
    b"9" * 4000,
    b'"\\ud800"',
    b"{}" + b" " * 5000,
]


class Scene:
    """A front node, and a deep one whose backend server announces itself."""

    def __init__(self):
        self.mesh = mesh_module.Mesh("front", "deep")
        self.mesh.configure(mesh_module.make_route("read", "deep"))
        self.control = mesh_control.MeshControl(self.mesh)
        self.member = self.mesh.members[1]
        for member in self.mesh.members:
            member.gateway.listen(
                member.settings.announce_address,
                node_ports.AnnouncePort(member.gateway),
            )
        self.mesh.run_announced(2)

    def make_body(self, **changes):
        member = self.member
        member.sequence += 1
        body = {
            "service": member.service,
            "addr": f"10.0.0.1:{member.backend_port}",
            "zone": member.zone,
            "version": "v1",
            "concurrency": member.slots,
            "state": "ready",
            "cold_left": "0ms",
            "seq": member.sequence,
            "born": member.started_ms,
        }
        return json.dumps({**body, **changes}).encode()

    def put(self, body, backend_id=None):
        """Sends an announcement; returns the statuses of the answer."""
        backend_id = backend_id or self.member.backend_id
        client = raw_client.RawClient()
        self.mesh.network.connect(self.member.entry_port + 3, client)
        client.send(
            b"PUT /cranberrymux/instances/%b HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: %d\r\n\r\n%b"
            % (backend_id.encode("latin-1"), len(body), body)
        )
        self.mesh.network.run(0.1)
        return client.statuses

    def check_that_all_work(self):
        """A new configuration reaches every node, and requests are served."""
        document = mesh_module.make_document(
            mesh_module.make_route("read", "deep"), label=2
        )
        self.mesh.text = mesh_module.route_document.dump(document)
        self.control.control.version = 2
        self.control.control.document = self.mesh.text
        self.mesh.run_announced(6)
        for member in self.mesh.members:
            assert member.gateway.updates.configuration_version == 2
        for _ in range(5):
            assert self.mesh.ask(0, "/read/x").statuses == [200]


@pytest.fixture
def scene():
    return Scene()


# Guards against a node that no longer hears of changes: its heartbeats could
# not be encoded.
@pytest.mark.parametrize(
    ("field", "value"), ODD_FIELDS, ids=lambda value: repr(value)[:16]
)
def test_odd_field_is_refused_and_the_node_works_on(scene, field, value):
    assert scene.put(scene.make_body(**{field: value})) == [400]
    scene.check_that_all_work()


@pytest.mark.parametrize("body", ODD_BODIES, ids=lambda value: repr(value)[:16])
def test_odd_body_is_answered_and_the_node_works_on(scene, body):
    (status,) = scene.put(body)
    assert 400 <= status < 500
    scene.check_that_all_work()


@pytest.mark.parametrize("backend_id", ["\xff", "%ff\xff", "\xed\xa0\x80"])
def test_id_that_is_no_ascii_is_refused(scene, backend_id):
    assert scene.put(scene.make_body(), backend_id) != [200]
    scene.check_that_all_work()


# Guards against an announcement of another writer that replaces the backend
# server's own, so that its draining is answered 200 and ignored.
@pytest.mark.parametrize(
    "changes",
    [
        {"service": "front"},
        {"service": "of-another-writer"},
        {"addr": "10.0.0.1:9999"},
        {"addr": "10.0.0.2:1014"},
        {"born": 1 << 62},
    ],
    ids=lambda value: next(iter(value)),
)
@pytest.mark.parametrize("backend_id", ["b-1", "b-9"])
def test_announcement_of_another_writer_changes_nothing(
    scene, changes, backend_id
):
    foreign = scene.make_body(**{"seq": 10**15, **changes})
    assert scene.put(foreign, backend_id) == [400]
    assert scene.mesh.ask(0, "/read/x").statuses == [200]
    assert scene.put(scene.make_body(state="draining")) == [200]
    served = len(scene.member.backend.calls)
    assert scene.mesh.ask(0, "/read/x").statuses == [503]
    assert len(scene.member.backend.calls) == served


def test_draining_holds_after_a_sequence_of_another_writer(scene):
    assert scene.put(scene.make_body(seq=10**15)) == [200]
    assert scene.put(scene.make_body(state="draining")) == [200]
    assert scene.put(scene.make_body(seq=10**15 + 1)) == [200]
    assert scene.mesh.ask(0, "/read/x").statuses == [503]


def test_new_start_is_served_at_once(scene):
    assert scene.put(scene.make_body(state="draining")) == [200]
    scene.member.started_ms += 1
    scene.member.sequence = 0
    assert scene.put(scene.make_body()) == [200]
    scene.mesh.publish_endpoints()
    assert scene.mesh.ask(0, "/read/x").statuses == [200]
