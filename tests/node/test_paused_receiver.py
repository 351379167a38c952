"""A receiver that reads nothing for a while, over real sockets.

Guards against an upload that is lost since its receiver let it wait for a slot:
the operating system took the receiver for one that had vanished.
"""

import errno
import socket
import time
import types

import pytest

from cranberrymux.node.http import client_connection
from cranberrymux.node.http import dead_peer_detection
from tests.fakes import memory_network

PAUSE_S = 2.5 * dead_peer_detection.MAXIMUM_UNACKNOWLEDGED_MS / 1000


@pytest.fixture
def pair():
    """Two connected sockets; the first one detects vanished peers."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        with socket.create_connection(listener.getsockname()) as sender:
            receiver, _ = listener.accept()
            with receiver:
                sender.setblocking(False)
                dead_peer_detection.enable(types.SimpleNamespace(socket=sender))
                yield sender, receiver


def fill(sender):
    """Sends until the receiver's window and all buffers are full."""
    sent = 0
    try:
        while True:
            sent += sender.send(b"x" * 65_536)
    except BlockingIOError:
        return sent


def tolerate(sender, is_tolerated):
    dead_peer_detection.tolerate_pauses(
        types.SimpleNamespace(socket=sender), is_tolerated
    )


def test_a_receiver_may_pause_during_a_long_body(pair):
    sender, receiver = pair
    tolerate(sender, True)
    sent = fill(sender)
    time.sleep(PAUSE_S)
    received = 0
    while received < sent:
        received += len(receiver.recv(1 << 20))
    assert sender.send(b"x") == 1


def test_a_receiver_that_pauses_otherwise_counts_as_vanished(pair):
    """As before and after a long body."""
    sender, _ = pair
    tolerate(sender, True)
    tolerate(sender, False)
    fill(sender)
    time.sleep(PAUSE_S)
    error = sender.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    assert error == errno.ETIMEDOUT


class Recorder(client_connection.ClientConnection):
    """Records when long bodies begin and end."""

    def __init__(self):
        super().__init__()
        self.noted = []

    def body_began(self):
        self.noted.append("began")

    def body_ended(self):
        self.noted.append("ended")


class Sink:
    """Ignores the answer."""

    def __getattr__(self, name):
        return lambda *_: None


def test_only_a_body_that_is_sent_in_parts_may_be_paused():
    connection = Recorder()
    network = memory_network.MemoryNetwork()
    transport = memory_network.MemoryTransport(network)
    transport.peer = memory_network.MemoryTransport(network)
    connection.makeConnection(transport)
    connection.send_request(b"GET / HTTP/1.1\r\n\r\n", True, False, Sink())
    connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    assert connection.noted == []
    connection.send_request(b"PUT / HTTP/1.1\r\n\r\n", False, False, Sink())
    assert connection.noted == ["began"]
    connection.end_body()
    connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    assert connection.noted == ["began", "ended"]
