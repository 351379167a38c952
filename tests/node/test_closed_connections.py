"""Connections that have ended, with the garbage collector off.

Guards against floods of bad messages: what a closed connection has read must
be freed at once. The collector runs by a count of objects, not of bytes, so
that memory would grow until the platform ends the process.
"""

import gc
import weakref

import pytest
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from cranberrymux.node.http import client_connection
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory

CONNECTIONS = 200
READ_BYTES = 60_000
LIMITS = limits.Limits(header_bytes=100_000, body_bytes=1 << 20)
_CLOSED = failure.Failure(error.ConnectionDone())

# What a client sends before it, or the server, closes.
REQUESTS = {
    "nothing": b"",
    "part of a head": b"GET / HTTP/1.1\r\nA: " + b"a" * READ_BYTES,
    "many header lines": b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 10_000,
    "a target that is too long": b"GET /" + b"a" * READ_BYTES,
    "no request": b"\0" * READ_BYTES,
    "part of a sized body": (
        b"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + b"a" * READ_BYTES
    ),
    "part of a chunk": (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n"
        + b"a" * READ_BYTES
    ),
    "a body that is too long": (
        b"POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"
    ),
    "framing without a body": (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1;a="
        + b"a" * 400_000
    ),
    "a request that is answered": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "requests that wait": b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n" * 20,
    "an upgrade": (
        b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n"
    ),
}
ANSWERS = {
    "nothing": b"",
    "part of a head": b"HTTP/1.1 200 OK\r\nA: " + b"a" * READ_BYTES,
    "no answer": b"\0" * READ_BYTES,
    "part of a body": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"a" * READ_BYTES
    ),
    "framing without a body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a="
        + b"a" * 400_000
    ),
    "an answer": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}


class Transport(testing.StringTransport):
    """A transport as `prompt_writer` needs it."""

    def __init__(self):
        super().__init__()
        self.dataBuffer = b""
        self._tempDataBuffer = []

    def setTcpNoDelay(self, enabled):
        pass

    def writeSomeData(self, data):
        self.write(data)
        return len(data)

    def registerProducer(self, producer, streaming):
        """Keeps no producer: Twisted forgets it when the connection ends."""

    def unregisterProducer(self):
        pass


class Handler:
    def handle_call(self, call):
        if call.head.target == b"/":
            call.answer(200, [], b"ok")


class Sink:
    def __getattr__(self, name):
        return lambda *arguments: None


@pytest.fixture(autouse=True)
def no_collector():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def end(connection, received):
    """Passes received bytes to a connection and ends it."""
    if received:
        connection.dataReceived(received)
    connection.connectionLost(_CLOSED)


@pytest.mark.parametrize("name", REQUESTS)
def test_server_connections_are_freed_when_they_end(name):
    factory = server_factory.ServerFactory(Handler(), LIMITS)
    ended = []
    for _ in range(CONNECTIONS):
        connection = factory.buildProtocol(None)
        connection.makeConnection(Transport())
        ended.append(weakref.ref(connection))
        end(connection, REQUESTS[name])
        del connection
    assert not [made for made in ended if made() is not None]


@pytest.mark.parametrize("name", ANSWERS)
def test_client_connections_are_freed_when_they_end(name):
    ended = []
    for _ in range(CONNECTIONS):
        connection = client_connection.ClientConnection()
        connection.makeConnection(Transport())
        ended.append(weakref.ref(connection))
        connection.send_request(b"GET / HTTP/1.1\r\n\r\n", True, False, Sink())
        end(connection, ANSWERS[name])
        del connection
    assert not [made for made in ended if made() is not None]
