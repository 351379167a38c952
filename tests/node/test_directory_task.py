"""Heartbeats of a node while its endpoint changes.

Guards against a change of the endpoint's state, such as a drain, that is
announced only one heartbeat interval later because a heartbeat was under way
when it happened.
"""

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


class ControlWithoutAnswer:
    def __init__(self):
        self.unanswered = []
        self.announced_states = []

    async def heartbeat(self, heartbeat):
        self.announced_states.append(
            [endpoint.state for endpoint in heartbeat.endpoints]
        )
        answer = defer.Deferred()
        self.unanswered.append(answer)
        return await answer

    def answer(self):
        timeout = wire_error.WireErrorReason.TIMEOUT
        self.unanswered.pop(0).callback(wire_error.WireError(timeout, ""))


class Listener:
    configuration_version = 0

    def get_subscriptions(self):
        return ()


class Clock:
    def now_s(self):
        return 0.0


def test_change_during_a_heartbeat_is_sent_as_soon_as_it_has_ended():
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
    control = ControlWithoutAnswer()
    task = directory_task.DirectoryTask(
        settings, [control], endpoint, Clock(), Listener()
    )
    task.send_heartbeats()
    endpoint.set_state(endpoint_state.EndpointState.DRAINING)
    task.send_heartbeats()
    assert control.announced_states == [[endpoint_state.EndpointState.SERVING]]
    control.answer()
    assert control.announced_states[1:] == [
        [endpoint_state.EndpointState.DRAINING]
    ]
    control.answer()
    assert len(control.announced_states) == 2
