"""Peers whose messages cost much time to parse.

Guards against connections that take the processor from all others with framing
and no end, such as chunks of one byte.
"""

import pytest
from twisted.internet import task

from cranberrymux.node.http import limits
from cranberrymux.node.http import read_pacer
from cranberrymux.node.http import server_factory
from tests.node import test_closed_connections
from tests.node import test_slow_readers

HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1\r\na\r\n"
END = b"0\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
COSTLY_S = 0.04


class Server:
    """Connections whose reads take a given time."""

    def __init__(self):
        self.clock = task.Clock()
        self.read_s = COSTLY_S
        self._now_s = 0.0
        self.handler = test_slow_readers.Handler()
        self.pacer = read_pacer.ReadPacer(self.clock, self._get_s)
        self.factory = server_factory.ServerFactory(
            self.handler, limits.Limits(), pacer=self.pacer
        )

    def _get_s(self):
        """Each read asks twice: as it begins and as it ends."""
        self._now_s += self.read_s
        return self._now_s

    def connect(self, data=HEAD):
        connection = self.factory.buildProtocol(None)
        connection.makeConnection(test_slow_readers.Transport())
        connection.dataReceived(data)
        return connection


@pytest.fixture
def server():
    return Server()


def test_costly_read_is_followed_by_a_pause(server):
    connection = server.connect()
    connection.dataReceived(CHUNK)
    assert not connection.transport.is_reading
    server.clock.advance(0.9 * COSTLY_S / read_pacer.PROCESSOR_SHARE)
    assert not connection.transport.is_reading
    server.clock.advance(0.2 * COSTLY_S / read_pacer.PROCESSOR_SHARE)
    assert connection.transport.is_reading
    connection.dataReceived(CHUNK + END)
    assert server.handler.handled == 1


def test_many_costly_connections_take_no_more_than_one(server):
    """Counts the costly reads of a second, each one while it may."""
    connections = [server.connect() for _ in range(20)]
    reads = 0
    for _ in range(10_000):
        for connection in connections:
            if connection.transport.is_reading:
                connection.dataReceived(CHUNK)
                reads += 1
        server.clock.advance(0.001)
    at_first = len(connections)
    allowed = 10.0 * read_pacer.PROCESSOR_SHARE / COSTLY_S
    assert reads <= 1.3 * allowed + at_first


def test_usual_reads_are_followed_by_no_pause(server):
    server.read_s = read_pacer.COSTLY_READ_S / 2
    connection = server.connect()
    for _ in range(100):
        connection.dataReceived(CHUNK)
        assert connection.transport.is_reading


def test_read_that_ends_a_request_is_followed_by_no_pause(server):
    """Its time went into handling the request."""
    connection = server.connect()
    connection.dataReceived(CHUNK + END)
    assert connection.transport.is_reading
    connection.dataReceived(REQUEST[:5])
    connection.dataReceived(REQUEST[5:] + REQUEST + REQUEST[:5])
    assert connection.transport.is_reading
    assert server.handler.handled == 3


def test_other_connections_are_read_meanwhile(server):
    server.connect().dataReceived(CHUNK)
    other = server.connect(REQUEST)
    assert other.transport.is_reading
    assert server.handler.handled == 1


def test_pause_ends_with_its_connection(server):
    connection = server.connect()
    test_closed_connections.end(connection, CHUNK)
    assert not server.clock.getDelayedCalls()
