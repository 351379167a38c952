"""Heartbeats of a node while its endpoint changes.

Guards against a change of the endpoint's state, such as a drain, that is
announced only one heartbeat interval later because a heartbeat was under way
when it happened, and against an answer that is applied in part and counts as
received.
"""

import pytest
from twisted.internet import defer

from cranberrymux.models import endpoint_state
from cranberrymux.models import socket_address
from cranberrymux.node import backend_server
from cranberrymux.node import directory_task
from cranberrymux.node import own_endpoint
from cranberrymux.node import settings as node_settings
from cranberrymux.settings import loader
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls

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


def make_serving_endpoint():
    """Returns the settings of a node and the endpoint that it announces."""
    settings = node_settings.make(
        loader.load_text(_SETTINGS, "node.yaml", node_settings.FIELDS)
    )
    endpoint = own_endpoint.OwnEndpoint(settings, 1)
    endpoint.announce(
        backend_server.BackendServer(
            "s", socket_address.SocketAddress("127.0.0.1", 9), 1, {}, (), ""
        ),
        endpoint_state.EndpointState.SERVING,
    )
    return settings, endpoint


def test_change_during_a_heartbeat_is_sent_as_soon_as_it_has_ended():
    settings, endpoint = make_serving_endpoint()
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


class Answering:
    """Answers each heartbeat with the next of some answers."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.revisions = []

    async def heartbeat(self, heartbeat):
        self.revisions.append(heartbeat.directory_revision)
        return self.answers.pop(0)


class RecordingListener(Listener):
    def __init__(self):
        self.records = []
        self.is_failing = False

    def endpoints_changed(self, records):
        if self.is_failing:
            raise RuntimeError
        self.records += [record.endpoint_id for record in records]


def make_answer(revision, *endpoints):
    return ttypes.HeartbeatAnswer(
        lease_ms=1,
        directory_epoch="e",
        directory_revision=revision,
        whole_directory=True,
        endpoints=list(endpoints),
        configuration_version=0,
        vouched_ms=0,
    )


def make_task(control, listener):
    settings = node_settings.make(
        loader.load_text(_SETTINGS, "node.yaml", node_settings.FIELDS)
    )
    endpoint = own_endpoint.OwnEndpoint(settings, 1)
    return directory_task.DirectoryTask(
        settings, [control], endpoint, Clock(), listener
    )


def make_endpoint(endpoint_id, **changes):
    message = calls.make_endpoint(endpoint_id)
    for name, value in changes.items():
        setattr(message, name, value)
    return message


@pytest.mark.parametrize("changes", [{"state": 9}, {"port": None}])
def test_record_that_cannot_be_read_is_skipped_and_the_others_hold(changes):
    """Guards against one bad record that hides all that came with it."""
    listener = RecordingListener()
    control = Answering(
        make_answer(
            5,
            make_endpoint("a"),
            make_endpoint("bad", **changes),
            make_endpoint("b"),
        )
    )
    make_task(control, listener).send_heartbeats()
    assert listener.records == ["a", "b"]


def test_answer_that_was_not_applied_does_not_count_as_received():
    """Guards against records that are never sent again."""
    listener = RecordingListener()
    control = Answering(
        make_answer(5, make_endpoint("a")), make_answer(5, make_endpoint("a"))
    )
    task = make_task(control, listener)
    listener.is_failing = True
    with pytest.raises(RuntimeError):
        task._apply_answer(task._sessions[0], control.answers.pop(0), 0.0)
    listener.is_failing = False
    task.send_heartbeats()
    assert control.revisions == [0]
    assert listener.records == ["a"]


class Keeping:
    """Answers each heartbeat and says whether it keeps the endpoint."""

    def __init__(self):
        self.keeps_endpoints = True
        self.is_lost = False
        self.heartbeats = []

    async def heartbeat(self, heartbeat):
        self.heartbeats.append(
            (len(heartbeat.endpoints), bool(heartbeat.has_same_endpoints))
        )
        if self.is_lost:
            timeout = wire_error.WireErrorReason.TIMEOUT
            return wire_error.WireError(timeout, "")
        answer = make_answer(5)
        answer.keeps_endpoints = self.keeps_endpoints
        return answer


def test_endpoint_is_named_only_to_an_instance_that_does_not_keep_it():
    """Guards against a record that an instance lacks and never gets."""
    settings, endpoint = make_serving_endpoint()
    control = Keeping()
    task = directory_task.DirectoryTask(
        settings, [control], endpoint, Clock(), RecordingListener()
    )
    task.send_heartbeats()
    task.send_heartbeats()
    assert control.heartbeats == [(1, False), (0, True)]
    endpoint.set_state(endpoint_state.EndpointState.DRAINING)
    task.send_heartbeats()
    control.is_lost = True
    task.send_heartbeats()
    assert control.heartbeats[2:] == [(1, False), (0, True)]
    control.is_lost = False
    # The instance may not have got the last one.
    task.send_heartbeats()
    # As an instance of an earlier version, or one that has started anew.
    control.keeps_endpoints = None
    task.send_heartbeats()
    task.send_heartbeats()
    assert control.heartbeats[4:] == [(1, False), (0, True), (1, False)]
