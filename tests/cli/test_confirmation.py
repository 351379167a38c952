"""Merges what several control instances report of one version.

Guards against a wait that ends too early: control instances hear from a node
at different times, so an outdated report, an instance that lags or one that
does not answer must not count as a confirmation.
"""

from cranberrymux import sessions
from cranberrymux.cli import confirmation


def make_status(control_id, version, nodes):
    status = {
        "control_id": control_id,
        "configuration_version": version,
        "nodes": [
            {
                "node_id": name,
                "incarnation": incarnation,
                "configuration_version": node_version,
            }
            for name, incarnation, node_version in nodes
        ],
    }
    return sessions.InstanceStatus(control_id, status)


def test_newest_report_of_a_node_decides_whether_it_has_the_version():
    answers = [
        make_status("c0", 5, [("n1", 1, 4), ("n2", 1, 5), ("n3", 2, 4)]),
        make_status("c1", 5, [("n1", 1, 5), ("n3", 1, 5)]),
    ]
    progress = confirmation.compute(answers, 5)
    assert progress.confirmed_nodes == ("n1", "n2")
    assert progress.lagging_nodes == ("n3",)
    assert not progress.is_complete
    assert "not on nodes n3" in progress.describe()


def test_lagging_and_unreachable_control_instances_are_listed():
    answers = [
        make_status("c0", 4, []),
        sessions.InstanceStatus("10.0.0.2:1", None, "refused"),
    ]
    progress = confirmation.compute(answers, 5)
    assert progress.lagging_controls == ("c0",)
    assert progress.addresses_without_status == ("10.0.0.2:1",)
    assert not progress.is_complete
    assert confirmation.compute(answers[:1], 4).is_complete
