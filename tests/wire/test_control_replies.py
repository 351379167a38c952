"""Replies that the control client reads, in any order and shape.

Guards against a reply that is taken for the answer to another call, and
against a partial reply that counts as whole.
"""

import struct

import pytest
from thrift import Thrift
from thrift.transport import TTransport
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure

from cranberrymux.wire import codec
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings
from cranberrymux.wire import limits
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import Control
from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls

REPLY = Thrift.TMessageType.REPLY
Reason = wire_error.WireErrorReason
TIMEOUT_S = 0.2


def make_answer(version):
    return ttypes.HeartbeatAnswer(
        lease_ms=1,
        directory_epoch="e",
        directory_revision=0,
        whole_directory=True,
        endpoints=[],
        configuration_version=version,
        vouched_ms=0,
    )


def encode(call_number, answer, name="heartbeat"):
    buffer = TTransport.TMemoryBuffer()
    encoder = codec.create_protocol_factory().getProtocol(buffer)
    encoder.writeMessageBegin(name, REPLY, call_number)
    getattr(Control, f"{name}_result")(success=answer).write(encoder)
    encoder.writeMessageEnd()
    return add_length(buffer.getvalue())


def add_length(payload):
    return struct.pack("!i", len(payload)) + payload


class _Transport(testing.StringTransport):
    def setTcpNoDelay(self, enabled):
        pass


class _Calls:
    """Two heartbeats under way on one connection."""

    def __init__(self):
        self.clock = task.Clock()
        self.client = control_client.ControlClient(
            control_client_settings.ControlClientSettings(
                "127.0.0.1", 1, "key", timeout_ms=int(TIMEOUT_S * 1000)
            ),
            self.clock,
        )
        self.transport = _Transport()
        self.connection = self.client._factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)
        self.answers = [None, None]
        for index in range(2):
            answered = defer.ensureDeferred(
                self.client.heartbeat(calls.make_heartbeat())
            )
            answered.addCallback(self._store, index)

    def _store(self, answer, index):
        assert self.answers[index] is None
        self.answers[index] = answer

    @property
    def versions(self):
        return [
            getattr(answer, "configuration_version", None)
            for answer in self.answers
        ]

    @property
    def reasons(self):
        return [getattr(answer, "reason", None) for answer in self.answers]

    def receive(self, *frames):
        self.connection.dataReceived(b"".join(frames))

    def lose_connection(self):
        reason = failure.Failure(error.ConnectionLost())
        self.connection.connectionLost(reason)


@pytest.fixture
def two_calls():
    return _Calls()


def test_replies_in_any_order_reach_their_calls(two_calls):
    two_calls.receive(encode(2, make_answer(22)), encode(1, make_answer(11)))
    assert two_calls.versions == [11, 22]


def test_second_reply_is_discarded_and_ends_the_connection(two_calls):
    two_calls.receive(encode(1, make_answer(11)), encode(1, make_answer(12)))
    assert two_calls.versions == [11, None]
    assert two_calls.transport.disconnected


def test_reply_to_no_call_is_discarded_and_ends_the_connection(two_calls):
    two_calls.receive(encode(3, make_answer(33)))
    assert two_calls.versions == [None, None]
    assert two_calls.transport.disconnected


def test_reply_after_the_timeout_is_discarded(two_calls):
    two_calls.clock.advance(TIMEOUT_S)
    two_calls.receive(encode(1, make_answer(11)))
    assert two_calls.reasons == [Reason.TIMEOUT, Reason.TIMEOUT]
    assert two_calls.transport.disconnected


def test_reply_on_a_replaced_connection_is_not_the_next_calls():
    first = _Calls()
    first.lose_connection()
    assert first.reasons == [Reason.CONNECTION_LOST] * 2
    first.client._factory.connection = None
    second = first.client._factory.buildProtocol(None)
    second.makeConnection(_Transport())
    answers = []
    defer.ensureDeferred(
        first.client.heartbeat(calls.make_heartbeat())
    ).addCallback(answers.append)
    first.connection.dataReceived(encode(1, make_answer(11)))
    assert answers == []
    second.dataReceived(encode(1, make_answer(12)))
    assert [answer.configuration_version for answer in answers] == [12]


def test_reply_to_another_method_is_no_answer(two_calls):
    verdict = ttypes.ClaimVerdict.GRANTED
    two_calls.receive(encode(1, ttypes.ClaimAnswer(verdict=verdict), "claim"))
    assert two_calls.reasons == [Reason.PROTOCOL, None]


@pytest.mark.parametrize(
    "field", ["configuration_version", "endpoints", "vouched_ms"]
)
def test_reply_without_a_required_field_is_no_answer(two_calls, field):
    answer = make_answer(11)
    setattr(answer, field, None)
    two_calls.receive(encode(1, answer))
    assert two_calls.reasons == [Reason.PROTOCOL, None]


def test_reply_that_is_cut_inside_its_frame_is_no_answer(two_calls):
    frame = encode(1, make_answer(11))
    for length in range(4, len(frame)):
        tested = _Calls()
        tested.receive(add_length(frame[4:length]))
        assert tested.answers == [None, None]
        assert tested.transport.disconnected
        tested.lose_connection()
        tested.clock.advance(TIMEOUT_S)
        assert set(tested.reasons) <= {Reason.TIMEOUT, Reason.CONNECTION_LOST}


def test_reply_over_the_limit_is_no_answer(two_calls):
    two_calls.receive(struct.pack("!i", limits.MAXIMUM_FRAME_BYTES + 1), b"x")
    two_calls.receive(encode(1, make_answer(11)))
    assert two_calls.answers == [None, None]
    two_calls.lose_connection()
    assert two_calls.reasons == [Reason.CONNECTION_LOST] * 2
