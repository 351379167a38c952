"""Messages between nodes that are answered twice, late or at length.

Guards against a vouch that belongs to another message or that is not whole,
from which a node would conclude that a call is not run.
"""

import pytest

from cranberrymux.models import socket_address
from cranberrymux.node import peer_request
from cranberrymux.node.http import connection_pool
from tests.fakes import memory_network
from tests.fakes import raw_backend

ADDRESS = socket_address.SocketAddress("127.0.0.1", 1)
CORRELATION_ID = "cranberrymux-correlation-id"
MAXIMUM_BYTES = peer_request._MAXIMUM_ANSWER_BYTES


class Sender:
    """Sends messages on one pool and keeps what they got."""

    def __init__(self):
        self.network = memory_network.MemoryNetwork()
        self.receiver = raw_backend.RawBackend(self.network, ADDRESS.port)
        self._pool = connection_pool.ConnectionPool(self.network)

    def send(self):
        answers = []
        message = peer_request.PeerMessage(b"/a", (b"b", b"c"), b"key")
        request = peer_request.PeerRequest(message, answers.append)
        request.start(self._pool, ADDRESS)
        self.network.run(0.01)
        return answers

    def reply(self, data):
        self.receiver.connections[-1].send(data)
        self.network.run(0.01)


@pytest.fixture
def sender():
    return Sender()


def encode(request, body):
    correlation_id = request.headers.get(CORRELATION_ID, "")
    head = (
        f"HTTP/1.1 200 OK\r\n{CORRELATION_ID}: {correlation_id}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@pytest.mark.parametrize("part_bytes", [MAXIMUM_BYTES + 1, 1000, 1])
def test_answer_over_the_limit_is_no_answer(sender, part_bytes):
    """Guards against an answer that is cut at the limit and taken as whole."""
    answers = sender.send()
    data = encode(sender.receiver.requests[0], b"x" * (MAXIMUM_BYTES + 1))
    for start in range(0, len(data), part_bytes):
        sender.receiver.connections[0].send(data[start : start + part_bytes])
    sender.network.run(0.01)
    assert answers == [None]
    assert sender.receiver.connections[0].is_closed


def test_answer_of_the_longest_length_is_whole(sender):
    answers = sender.send()
    body = b"x" * MAXIMUM_BYTES
    sender.reply(encode(sender.receiver.requests[0], body))
    assert answers == [body]


def test_second_answer_is_not_the_next_messages(sender):
    assert sender.send() == []
    (first,) = sender.receiver.requests
    sender.reply(encode(first, b"first"))
    answers = sender.send()
    sender.reply(encode(first, b"again"))
    assert answers == []
    assert len(sender.receiver.connections) == 1
    sender.reply(encode(sender.receiver.requests[1], b"second"))
    assert answers == [b"second"]


def test_cut_answer_is_no_answer(sender):
    answers = sender.send()
    sender.reply(encode(sender.receiver.requests[0], b"whole")[:-1])
    assert answers == []
    sender.receiver.connections[0].close()
    sender.network.run(0.01)
    assert answers == [None]
