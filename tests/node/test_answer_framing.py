"""Where an answer ends, and when it counts as whole.

Guards against a caller that gets a part of an answer, or an answer with other
bytes in it, as a whole one.
"""

import pytest
from twisted.internet import error
from twisted.python import failure

from cranberrymux.node.http import client_connection
from cranberrymux.node.http import request_identity
from tests.fakes import memory_network

IDENTITY = request_identity.RequestIdentity(b"request-id", b"r1")
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
ENDS = {
    "orderly": error.ConnectionDone(),
    "reset": error.ConnectionLost(),
}


class Sink:
    """Records the body of an answer and how the answer ended."""

    def __init__(self):
        self.body = b""
        self.ends = []

    def answer_started(self, head):
        pass

    def answer_interim(self, status, extra):
        pass

    def answer_part(self, part):
        self.body += part

    def answer_complete(self):
        self.ends.append("complete")

    def answer_lost(self, loss):
        self.ends.append("lost")


class Reader:
    """A connection on which a request was sent, without a network."""

    def __init__(self):
        network = memory_network.MemoryNetwork()
        self.connection = client_connection.ClientConnection()
        transport = memory_network.MemoryTransport(network)
        transport.peer = memory_network.MemoryTransport(network)
        self.connection.transport = transport
        self.connection.accepts_close_delimited = True
        self.connection.connectionMade()
        self.sink = Sink()
        self.connection.send_request(
            b"GET / HTTP/1.1\r\n\r\n", True, False, self.sink, IDENTITY
        )

    def read(self, data, end=""):
        self.connection.dataReceived(data)
        if end:
            self.connection.connectionLost(failure.Failure(ENDS[end]))


WHOLE = {
    "sized": HEAD + b"Content-Length: 4\r\n\r\nbody",
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    "chunked-with-trailer": HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    b"4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", WHOLE)
def test_answer_cut_at_any_byte_is_not_whole(framing, end):
    data = WHOLE[framing]
    for length in range(len(data)):
        reader = Reader()
        reader.read(data[:length], end)
        assert reader.sink.ends == ["lost"], data[:length]
    reader = Reader()
    reader.read(data)
    assert reader.sink.ends == ["complete"]
    assert reader.sink.body == b"body"


@pytest.mark.parametrize("framing", WHOLE)
def test_answer_is_the_same_however_it_is_split_into_reads(framing):
    data = WHOLE[framing]
    for length in range(1, len(data)):
        reader = Reader()
        reader.read(data[:length])
        reader.read(data[length:])
        assert reader.sink.ends == ["complete"]
        assert reader.sink.body == b"body"
        assert reader.connection.is_usable


def test_answer_without_a_length_ends_with_an_orderly_close_only():
    data = HEAD + b"\r\nbody"
    for length in range(len(data) + 1):
        reader = Reader()
        reader.read(data[:length], "reset")
        assert reader.sink.ends == ["lost"]
    reader = Reader()
    reader.read(data, "orderly")
    assert reader.sink.ends == ["complete"]
    for length in range(len(HEAD) + 1):
        reader = Reader()
        reader.read(data[:length], "orderly")
        assert reader.sink.ends == ["lost"]


def test_answer_without_a_length_is_lost_where_none_is_accepted():
    """As between nodes, in health checks and without routes."""
    reader = Reader()
    reader.connection.accepts_close_delimited = False
    reader.read(HEAD + b"\r\nbody")
    assert reader.sink.ends == ["lost"]
    assert reader.sink.body == b""


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Content-Length: 4, 4\r\n",
        b"Content-Length: +4\r\n",
        b"Content-Length: 0x4\r\n",
        b"Content-Length: -4\r\n",
        b"Content-Length:\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: chunked, gzip\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    ],
)
@pytest.mark.parametrize("body", [b"body", b"4\r\nbody\r\n0\r\n\r\n"])
def test_answer_whose_end_is_not_certain_is_lost(framing, body):
    reader = Reader()
    reader.read(HEAD + framing + b"\r\n" + body, "orderly")
    assert reader.sink.ends == ["lost"]


@pytest.mark.parametrize("head", [b"HTTP/1.1 100 Continue", b"HTTP/1.1 103 X"])
def test_interim_answers_do_not_end_an_answer(head):
    reader = Reader()
    reader.read((head + b"\r\n\r\n") * 3)
    assert reader.sink.ends == []
    reader.read(WHOLE["sized"])
    assert reader.sink.ends == ["complete"]


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 503 FuHTTP/1.1 200 OK\r\nRequest-Id: r1\r\n",
        b"HTTP/1.1 503 Full\r\nNot-Run: 1HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nX: yHTTP/1.1 200 OK\r\n"
        b"Request-Id: r1\r\n",
    ],
    ids=["in-the-reason-phrase", "in-a-value", "between-ids"],
)
def test_heads_of_two_answers_that_run_together_are_none(head):
    """Guards against a refusal of one request with the id of another."""
    data = head + b"Content-Length: 4\r\n\r\nbody"
    for length in range(1, len(data)):
        reader = Reader()
        reader.read(data[:length])
        reader.read(data[length:])
        assert reader.sink.ends == ["lost"], data[:length]
