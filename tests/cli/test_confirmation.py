"""Who has not confirmed a version, over all control instances."""

from cranberrymux import sessions
from cranberrymux.cli import confirmation


def make_answer(control_id, version, nodes):
    status = {
        "control_id": control_id,
        "configuration_version": version,
        "nodes": [
            {
                "node_id": name,
                "incarnation": incarnation,
                "configuration_version": seen,
            }
            for name, incarnation, seen in nodes
        ],
    }
    return sessions.InstanceStatus(control_id, status)


def test_the_newest_news_of_a_node_counts():
    answers = [
        make_answer("c0", 5, [("n1", 1, 4), ("n2", 1, 5), ("n3", 2, 4)]),
        make_answer("c1", 5, [("n1", 1, 5), ("n3", 1, 5)]),
    ]
    found = confirmation.compute(answers, 5)
    assert found.confirmed == ("n1", "n2")
    assert found.missing == ("n3",)
    assert not found.is_whole
    assert "not on nodes n3" in found.describe()


def test_instances_that_lag_or_are_silent_are_named():
    answers = [
        make_answer("c0", 4, []),
        sessions.InstanceStatus("10.0.0.2:1", None, "refused"),
    ]
    found = confirmation.compute(answers, 5)
    assert found.lagging_controls == ("c0",)
    assert found.silent == ("10.0.0.2:1",)
    assert not found.is_whole
    assert confirmation.compute(answers[:1], 4).is_whole
