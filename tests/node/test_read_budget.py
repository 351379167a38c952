"""Many connections that together read more than a process can hold.

Guards against floods from many peers, each of which stays below the limits of
one request.
"""

import pytest

from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits
from cranberrymux.node.http import read_budget
from cranberrymux.node.http import server_factory
from tests.node import test_closed_connections

LIMIT_BYTES = 100_000
LIMITS = limits.Limits(
    header_bytes=90_000, body_bytes=1 << 20, buffered_bytes=1 << 20
)
HEAD = b"GET / HTTP/1.1\r\nA: "
CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZED = b"POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"


class Transport(test_closed_connections.Transport):
    def resumeProducing(self):
        """Reading is never paused here."""


class Server:
    """Connections of one port, and what became of them."""

    def __init__(self, message_limits=LIMITS):
        self.calls = []
        self.shed_bytes = []
        self.budget = read_budget.ReadBudget(
            LIMIT_BYTES, self.shed_bytes.append
        )
        self._factory = server_factory.ServerFactory(
            self, message_limits, budget=self.budget
        )

    def handle_call(self, call):
        self.calls.append(call)

    def send(self, data):
        connection = self._factory.buildProtocol(None)
        connection.makeConnection(Transport())
        connection.dataReceived(data)
        return connection


@pytest.fixture
def server():
    return Server()


def is_refused(connection):
    return connection.transport.value().startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize(
    "begin",
    [HEAD, CHUNKED + b"fffff\r\n", SIZED],
    ids=["head", "chunk", "body"],
)
def test_the_connection_that_holds_most_is_closed(server, begin):
    small = server.send(begin + b"a" * 30_000)
    large = server.send(begin + b"a" * 50_000)
    assert not server.shed_bytes
    last = server.send(begin + b"a" * 40_000)
    assert is_refused(large)
    assert large.transport.disconnecting
    assert not is_refused(small)
    assert not is_refused(last)
    assert server.shed_bytes[0] >= 50_000
    assert server.budget.used_bytes <= LIMIT_BYTES
    assert not server.calls


def test_what_is_passed_on_counts_no_more(server):
    for _ in range(10):
        connection = server.send(SIZED + b"a" * 30_000)
        connection.dataReceived(b"a" * 30_000)
    assert len(server.calls) == 10
    assert server.budget.used_bytes == 0
    assert not server.shed_bytes


def test_what_a_closed_connection_held_is_free():
    server = Server()
    for _ in range(10):
        test_closed_connections.end(server.send(HEAD + b"a" * 50_000), b"")
    assert server.budget.used_bytes == 0
    assert not server.shed_bytes


def test_upload_that_is_handled_is_never_closed():
    """Its caller could not tell whether it has run."""
    server = Server(LIMITS._replace(buffered_bytes=1000))
    uploads = [server.send(SIZED + b"a" * 50_000) for _ in range(5)]
    assert len(server.calls) == 5
    server.send(HEAD + b"a" * 80_000)
    server.send(HEAD + b"a" * 80_000)
    assert not any(is_refused(upload) for upload in uploads)
    assert len(server.shed_bytes) == 1


def test_body_in_parts_of_one_byte_is_kept_in_few():
    call = inbound_call.InboundCall(None, None)
    for number in range(100_000):
        call.add_body(b"%d" % (number % 10))
    assert len(call._parts) < 2 * inbound_call.MAXIMUM_LOOSE_PARTS
    assert call.buffered_body() == b"0123456789" * 10_000
