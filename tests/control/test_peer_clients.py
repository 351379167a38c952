"""Connections to control instances that come and go.

Guards against instances that are gone for good and are connected to, and told
of, for ever.
"""

from twisted.internet import testing

from cranberrymux.control import control_settings
from cranberrymux.control import peer
from cranberrymux.control import peer_clients

NAMES = ("a", "b", "c", "d")
OWN, SEED, OTHER, MEMBER = (
    peer.Peer(name, f"127.0.0.{number}", 7000)
    for number, name in enumerate(NAMES, 1)
)


def make_clients():
    settings = control_settings.ControlSettings(
        **dict.fromkeys(control_settings.ControlSettings._fields, 0)
    )._replace(
        control_id=OWN.control_id, peers=(OWN, SEED), peer_timeout_ms=1000
    )
    clients = peer_clients.PeerClients(
        settings, "key", testing.MemoryReactorClock()
    )
    for other in (OTHER, MEMBER):
        clients.add(other)
    clients.start()
    return clients


def test_an_instance_without_a_connection_is_forgotten():
    clients = make_clients()
    kept = {MEMBER.control_id}
    clients.forget_unreachable(5.0, kept)
    clients.forget_unreachable(5.0 + peer_clients.FORGET_AFTER_S, kept)
    assert OTHER.control_id in clients.names
    clients.forget_unreachable(5.1 + peer_clients.FORGET_AFTER_S, kept)
    assert set(clients.names) == {SEED.control_id, MEMBER.control_id}
    assert clients.find(OTHER.control_id) is None


def test_a_connected_instance_is_kept(monkeypatch):
    clients = make_clients()
    connected = {OTHER.control_id}
    monkeypatch.setattr(clients, "is_connected", connected.__contains__)
    for now_s in range(0, 60, 2):
        clients.forget_unreachable(float(now_s), ())
    assert OTHER.control_id in clients.names
    connected.clear()
    clients.forget_unreachable(58.0 + peer_clients.FORGET_AFTER_S, ())
    assert OTHER.control_id in clients.names
    clients.forget_unreachable(59.0 + peer_clients.FORGET_AFTER_S, ())
    assert OTHER.control_id not in clients.names


def test_a_forgotten_instance_may_come_back():
    clients = make_clients()
    clients.forget_unreachable(0.0, ())
    clients.forget_unreachable(1.0 + peer_clients.FORGET_AFTER_S, ())
    clients.add(OTHER)
    clients.forget_unreachable(30.0, ())
    assert OTHER.control_id in clients.names
