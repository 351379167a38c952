"""Suspects that are refused, and the share of the work that fits.

Guards against a node that counts the requests which the quarantine refuses as
offered work, and sheds harmless trees while its slots are idle.
"""

from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from tests.fakes import raw_client
from tests.gateway import mesh as mesh_module

SLOTS = 10
HOLD_S = 0.5
REQUESTS = 100
INTERVAL_S = 0.01


def quarantine(member, path):
    """Makes a node refuse a request; returns the digest of its content."""
    made = fingerprint.make(
        "", "", "GET", mesh_module.HOST + path, body=b"", body_bytes=0
    )
    kinds = (report_kind.ReportKind.DEATH, report_kind.ReportKind.SOLE_DEATH)
    member.gateway._parts.quarantine.merge_from_caller(
        [
            suspect_report.SuspectReport(made.digest_key, kind, f"e{number}")
            for kind in kinds
            for number in range(3)
        ]
    )
    return made.digest


def test_refused_suspects_do_not_lower_the_share():
    mesh = mesh_module.Mesh("front", "deep", slots=SLOTS)
    mesh.configure(mesh_module.make_route("read", "deep"))
    deep = mesh.members[1]
    pressure = deep.gateway._exit.work.pressure
    pressure.note_hold("read", HOLD_S)
    headers = [
        ("cranberrymux-target", deep.backend_id),
        ("cranberrymux-route", "read"),
        ("cranberrymux-digest", quarantine(deep, "/read/crashing")),
    ]
    client = raw_client.RawClient()
    mesh.network.connect(deep.entry_port + 1, client)
    for _ in range(REQUESTS):
        client.send(mesh_module.encode("/read/crashing", headers=headers))
        mesh.network.run(INTERVAL_S)
    assert client.statuses == [503] * REQUESTS
    assert client.received.count(b"quarantined") >= REQUESTS
    pressure.update(mesh.network.seconds() + INTERVAL_S, None)
    assert pressure.share == 1.0
