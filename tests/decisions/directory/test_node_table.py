"""Nodes under leases."""

from cranberrymux.decisions.directory import node_table


def test_keeps_the_newest_incarnation_and_its_version():
    nodes = node_table.NodeTable(3.0)
    assert nodes.renew("n1", 2, 5, 0.0)
    assert not nodes.renew("n1", 1, 9, 0.0)
    assert nodes.live(1.0)[0].configuration_version == 5
    assert nodes.live(3.0) == []


def test_knows_which_incarnations_have_ended():
    nodes = node_table.NodeTable(3.0)
    nodes.renew("n1", 2, 5, 0.0)
    assert nodes.is_replaced("n1", 1)
    assert not nodes.is_replaced("n1", 2)
    assert not nodes.is_replaced("n2", 1)
    assert not nodes.is_expired("n1", 2, 2.9)
    assert nodes.is_expired("n1", 2, 3.0)
    assert not nodes.is_expired("n2", 1, 9.0)


def test_a_drain_is_for_one_incarnation():
    nodes = node_table.NodeTable(3.0)
    assert not nodes.request_drain("n1", 0.0)
    nodes.renew("n1", 2, 5, 0.0)
    assert nodes.request_drain("n1", 0.0)
    assert nodes.is_drain_requested("n1", 2)
    assert not nodes.is_drain_requested("n1", 3)
    nodes.forget(4.0)
    assert not nodes.is_drain_requested("n1", 2)
