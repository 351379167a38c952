"""Guards against acting on the state of an earlier process of a node.

A late heartbeat of an older incarnation must not replace the newer one, and a
drain request must not reach the process that replaces the drained one.
"""

from cranberrymux.decisions.directory import node_table


def test_heartbeat_of_older_incarnation_is_ignored():
    nodes = node_table.NodeTable(3.0)
    assert nodes.renew("n1", 2, 5, 0.0)
    assert not nodes.renew("n1", 1, 9, 0.0)
    assert nodes.live(1.0)[0].configuration_version == 5
    assert nodes.live(3.0) == []


def test_incarnation_is_replaced_by_a_later_one_or_expires_with_its_lease():
    nodes = node_table.NodeTable(3.0)
    nodes.renew("n1", 2, 5, 0.0)
    assert nodes.is_replaced("n1", 1)
    assert not nodes.is_replaced("n1", 2)
    assert not nodes.is_replaced("n2", 1)
    assert not nodes.is_expired("n1", 2, 2.9)
    assert nodes.is_expired("n1", 2, 3.0)
    assert not nodes.is_expired("n2", 1, 9.0)


def test_drain_request_applies_to_one_incarnation():
    nodes = node_table.NodeTable(3.0)
    assert not nodes.request_drain("n1", 0.0)
    nodes.renew("n1", 2, 5, 0.0)
    assert nodes.request_drain("n1", 0.0)
    assert nodes.is_drain_requested("n1", 2)
    assert not nodes.is_drain_requested("n1", 3)
    nodes.remove_expired(4.0)
    assert not nodes.is_drain_requested("n1", 2)
