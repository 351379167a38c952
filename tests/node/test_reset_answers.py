"""Answers without a length whose connection is reset, over real sockets.

Guards against a part of an answer that is taken for the whole of it. How a
reset looks depends on which call meets it first: tests in memory do not show
it.
"""

import select
import socket

import pytest
from twisted.internet import error
from twisted.internet import tcp
from twisted.python import failure

from cranberrymux.node.http import client_connection
from tests.fakes import resets
from tests.node import test_answer_framing

ANSWER_PART = b"HTTP/1.1 200 OK\r\n\r\npart of a body"
GET = b"GET / HTTP/1.1\r\n\r\n"
UPLOAD_PART = b"x" * (1 << 16)
UPLOAD_HEAD = b"POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n"
RECEIVE_BUFFER_BYTES = 16_384
READ_S = 2.0


class Loop:
    """What a transport needs of a reactor, which the test stands in for."""

    def addReader(self, transport):
        pass

    def removeReader(self, transport):
        pass

    def addWriter(self, transport):
        pass

    def removeWriter(self, transport):
        pass


class Exchange:
    """A connection over loopback, and the backend server at its other end.

    Attributes:
        connection: The connection under test.
        sink: What became of its request.
        transport: The transport of the connection.
        backend: The socket of the backend server.
    """

    def __init__(self, ours, backend):
        self.connection = client_connection.ClientConnection()
        self.connection.accepts_close_delimited = True
        self.transport = tcp.Connection(ours, self.connection, Loop())
        self.transport.connected = True
        self.connection.makeConnection(self.transport)
        self.sink = test_answer_framing.Sink()
        self.backend = backend

    def send(self, data, *, is_complete):
        self.connection.send_request(data, is_complete, False, self.sink)

    def fill_send_buffer(self):
        """Sends a body until a part of it stays in the transport's buffer."""
        while not self.transport.dataBuffer:
            self.connection.send_body(UPLOAD_PART)
            assert self.transport.doWrite() is None

    def answer(self):
        self.backend.sendall(ANSWER_PART)

    def reset(self):
        resets.reset(self.backend)

    def read_to_end(self):
        """Reads as a reactor does, until the connection has ended."""
        while not self.sink.ends:
            assert select.select([self.transport], [], [], READ_S)[0]
            why = self.transport.doRead()
            if isinstance(why, error.ConnectionDone):
                self.end_reading()
            elif why is not None:
                self.transport.connectionLost(failure.Failure(why))

    def end_reading(self):
        """Does what a reactor does at the end of what can be read.

        It also does so when the poller tells of an error and of nothing to
        read: the kernel sets the error of a reset before the end of the input.
        """
        self.transport.readConnectionLost(
            failure.Failure(error.ConnectionDone())
        )


@pytest.fixture
def exchange():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        ours = socket.create_connection(listener.getsockname())
        backend, _ = listener.accept()
    with ours, backend:
        yield Exchange(ours, backend)


def test_answer_that_ends_in_order_is_whole(exchange):
    exchange.send(GET, is_complete=True)
    exchange.backend.recv(len(GET))
    exchange.answer()
    exchange.backend.close()
    exchange.read_to_end()
    assert exchange.sink.ends == ["complete"]
    assert exchange.sink.body == b"part of a body"


def test_answer_whose_connection_is_reset_is_lost(exchange):
    exchange.send(GET, is_complete=True)
    exchange.answer()
    exchange.reset()
    exchange.read_to_end()
    assert exchange.sink.ends == ["lost"]


@pytest.mark.parametrize("is_upload", [False, True])
def test_reset_that_the_poller_tells_of_before_the_end_of_the_input(
    exchange, is_upload
):
    """Guards against a reset that Twisted takes for an orderly close."""
    if is_upload:
        exchange.send(UPLOAD_HEAD, is_complete=False)
        exchange.fill_send_buffer()
    else:
        exchange.send(GET, is_complete=True)
    exchange.answer()
    assert select.select([exchange.transport], [], [], READ_S)[0]
    assert exchange.transport.doRead() is None
    exchange.reset()
    exchange.end_reading()
    assert exchange.sink.ends == ["lost"]


def test_reset_that_a_send_meets_first(exchange):
    """Guards against a send that keeps the only report of a reset to itself."""
    exchange.answer()
    exchange.reset()
    exchange.send(GET, is_complete=True)
    exchange.read_to_end()
    assert exchange.sink.ends == ["lost"]


def test_answer_that_ends_before_its_request_was_sent_is_lost(exchange):
    """Guards against a reset that comes only behind the end of the input."""
    exchange.send(UPLOAD_HEAD, is_complete=False)
    exchange.fill_send_buffer()
    exchange.answer()
    exchange.backend.shutdown(socket.SHUT_WR)
    exchange.read_to_end()
    assert exchange.sink.ends == ["lost"]


def test_answer_that_ends_before_its_request_was_taken_is_lost(exchange):
    """The system has the whole request, and its receiver reads none of it."""
    size = 2 * len(UPLOAD_PART)
    exchange.transport.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, 8 * size
    )
    exchange.send(
        b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size,
        is_complete=False,
    )
    for _ in range(2):
        exchange.connection.send_body(UPLOAD_PART)
        assert exchange.transport.doWrite() is None
    exchange.connection.end_body()
    assert not exchange.transport.dataBuffer
    exchange.answer()
    exchange.backend.shutdown(socket.SHUT_WR)
    exchange.read_to_end()
    assert exchange.sink.ends == ["lost"]


def test_answer_that_ends_in_order_behind_an_upload_is_whole(exchange):
    head = b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n"
    exchange.send(head, is_complete=False)
    exchange.connection.send_body(b"body")
    exchange.connection.end_body()
    assert exchange.transport.doWrite() is None
    exchange.backend.recv(len(head) + 4, socket.MSG_WAITALL)
    exchange.answer()
    exchange.backend.close()
    exchange.read_to_end()
    assert exchange.sink.ends == ["complete"]
