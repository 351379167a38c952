"""Messages of other nodes at the hop port.

Guards against one malformed message that ends a node or its connection, and
against clients that tell nodes of deaths.
"""

from cranberrymux.node import suspect_message
from tests.fakes import raw_client
from tests.gateway import mesh as mesh_module

REPORT = b"death;/digest:d;e1"


def send(mesh, *headers, target=suspect_message.TARGET, port=None):
    client = raw_client.RawClient()
    mesh.network.connect(port or mesh.members[1].entry_port + 1, client)
    lines = [b"POST %b HTTP/1.1" % target, b"Host: node", *headers]
    client.send(b"\r\n".join(lines) + b"\r\nContent-Length: 0\r\n\r\n")
    mesh.network.run(0.1)
    return client


def count_records(mesh):
    return mesh.members[1].gateway._parts.quarantine.record_count


def test_report_with_the_key_is_taken(mesh):
    client = send(
        mesh, b"Cranberrymux-Key: key", b"Cranberrymux-Suspect: " + REPORT
    )
    assert client.statuses == [200]
    assert count_records(mesh) == 1


def test_report_without_the_key_is_not_taken(mesh):
    report = b"Cranberrymux-Suspect: " + REPORT
    assert send(mesh, b"Cranberrymux-Key: no", report).statuses == [403]
    assert send(mesh, report).statuses == [503]
    assert count_records(mesh) == 0


def test_malformed_reports_are_answered(mesh):
    key = b"Cranberrymux-Key: key"
    assert send(mesh, key).statuses == [400]
    for value in (
        b"",
        b"death",
        b"death;k",
        b"other;k;e",
        b"death;k;e;more",
        b",".join([REPORT] * 2000),
        bytes(range(128, 255)),
    ):
        client = send(mesh, key, b"Cranberrymux-Suspect: " + value)
        assert client.statuses == [400], value
    assert count_records(mesh) == 0


def test_client_tells_a_node_nothing(mesh):
    client = mesh.ask(
        0,
        "/read/x",
        headers=[
            ("Cranberrymux-Suspect", REPORT.decode()),
            ("Cranberrymux-Digest", "d"),
            ("Cranberrymux-Key", "key"),
        ],
    )
    assert client.statuses == [200]
    assert count_records(mesh) == 0


def test_request_of_a_client_may_have_the_target_of_a_message(mesh):
    target = suspect_message.TARGET.decode()
    mesh.configure(
        mesh_module.make_route("all", "deep", prefix="/cranberrymux/"),
        label=2,
    )
    assert mesh.ask(0, target).statuses == [200]
