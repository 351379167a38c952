"""Heartbeats of a node."""

from twisted.internet import defer

from cranberrymux.models import endpoint_state
from cranberrymux.node import backend_server
from cranberrymux.node import directory_task
from cranberrymux.node import own_endpoint
from cranberrymux.node import settings as node_settings
from cranberrymux.node.http import connection_pool
from cranberrymux.settings import loader
from cranberrymux.wire import wire_error

_SETTINGS = """
{node_id: a, region: r, zone: z, address: 127.0.0.1, ingress_port: 1,
 egress_port: 2, announce_port: 3, control_addresses: ["127.0.0.1:4"],
 cluster_key_file: none}
"""


class SlowControl:
    def __init__(self):
        self.waiting = []
        self.states = []

    async def heartbeat(self, heartbeat):
        self.states.append([one.state for one in heartbeat.endpoints])
        answer = defer.Deferred()
        self.waiting.append(answer)
        return await answer

    def answer(self):
        lost = wire_error.WireErrorReason.TIMEOUT
        self.waiting.pop(0).callback(wire_error.WireError(lost, ""))


class Listener:
    configuration_version = 0

    def get_subscriptions(self):
        return ()


class Clock:
    def now_s(self):
        return 0.0


def test_news_during_a_heartbeat_follows_it_at_once():
    settings = node_settings.make(
        loader.load_text(_SETTINGS, "node.yaml", node_settings.FIELDS)
    )
    endpoint = own_endpoint.OwnEndpoint(settings, 1)
    endpoint.announce(
        backend_server.BackendServer(
            "s", connection_pool.Address("127.0.0.1", 9), 1, {}, (), ""
        ),
        endpoint_state.EndpointState.SERVING,
    )
    control = SlowControl()
    task = directory_task.DirectoryTask(
        settings, [control], endpoint, Clock(), Listener()
    )
    task.beat()
    endpoint.set_state(endpoint_state.EndpointState.DRAINING)
    task.beat()
    assert control.states == [[endpoint_state.EndpointState.SERVING]]
    control.answer()
    assert control.states[1:] == [[endpoint_state.EndpointState.DRAINING]]
    control.answer()
    assert len(control.states) == 2
