"""News of crashing requests among many endpoints of one service.

Guards against a node that sends each piece of news to all of its siblings, and
against siblings that never hear of it.
"""

import collections

from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from tests.gateway import mesh as mesh_module

SIBLINGS = 30
NEIGHBORS = 6


def test_news_reaches_all_siblings_through_neighbors():
    mesh = mesh_module.Mesh(*["deep"] * SIBLINGS)
    mesh.configure(mesh_module.make_route("read", "deep"))
    sent = collections.Counter()
    for member in mesh.members:
        siblings = member.gateway._parts.siblings

        def count_and_send(
            sibling, message, siblings=siblings, node_id=member.settings.node_id
        ):
            sent[node_id] += 1
            type(siblings).send(siblings, sibling, message)

        siblings.send = count_and_send
    report = suspect_report.SuspectReport(
        "d:0123", report_kind.ReportKind.SOLE_DEATH, "n-99#1-1"
    )
    mesh.members[0].gateway._parts.quarantine.merge_from_sibling([report])
    mesh.network.run(0.3)
    counts = [
        member.gateway._parts.quarantine.record_count for member in mesh.members
    ]
    assert counts == [1] * SIBLINGS
    assert max(sent.values()) == NEIGHBORS
