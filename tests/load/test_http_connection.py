"""Bytes that answer no request, on a connection of the load generator.

Guards against a load that takes the second answer to one request for the
answer to another, or does not notice it, as its report is what shows whether
nodes keep answers apart.
"""

import pytest
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from cranberrymux.load import http_connection
from cranberrymux.load import no_response_reason

MALFORMED = no_response_reason.NoResponseReason.MALFORMED


def encode(body, status=200):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class _Transport(testing.StringTransport):
    def setTcpNoDelay(self, enabled):
        pass


class _Client:
    """Sends the next request as soon as the connection can take one."""

    def __init__(self):
        self.results = []
        self.unsolicited = 0
        self.connection = http_connection.HttpConnection(
            lambda _: None, self._count_unsolicited
        )
        self.transport = _Transport()
        self.connection.makeConnection(self.transport)
        self.send()

    def send(self):
        self.connection.send(b"GET / HTTP/1.1\r\n\r\n", self._take_result)

    def receive(self, data):
        self.connection.dataReceived(data)

    def _take_result(self, result):
        self.results.append(result)
        if self.connection.is_usable and len(self.results) < 2:
            self.send()

    def _count_unsolicited(self):
        self.unsolicited += 1


@pytest.fixture
def client():
    return _Client()


@pytest.mark.parametrize(
    "second",
    [
        encode(b"second"),
        encode(b"", 503),
        b"HTTP/1.1 200 OK\r\nContent-",
        b"H",
        b"nonsense",
    ],
)
def test_bytes_behind_a_response_make_it_malformed(client, second):
    client.receive(encode(b"first") + second)
    assert client.results == [MALFORMED]
    assert client.transport.disconnected
    assert not client.connection.is_usable


@pytest.mark.parametrize("second", [encode(b"second"), b"HTT", b"\r\n"])
def test_bytes_on_an_idle_connection_are_counted_and_end_it(client, second):
    client.receive(encode(b"first"))
    client.receive(encode(b"own"))
    assert [result.body for result in client.results] == [b"first", b"own"]
    client.receive(second)
    assert client.unsolicited == 1
    assert client.transport.disconnected
    assert not client.connection.is_usable


def test_responses_in_parts_are_each_their_own(client):
    for byte in encode(b"first") + encode(b"own"):
        client.receive(bytes([byte]))
    assert [result.body for result in client.results] == [b"first", b"own"]
    assert client.unsolicited == 0


def test_interim_response_is_not_the_response(client):
    client.receive(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
    assert client.results == []
    client.receive(encode(b"own"))
    assert client.results[0].body == b"own"
    assert b"link" not in client.results[0].headers


@pytest.mark.parametrize("status", ["000", "001", "099"])
def test_response_with_a_status_below_100_is_malformed(client, status):
    """Guards against its body before that of the next response."""
    for byte in encode(b"first", status) + encode(b"own"):
        client.receive(bytes([byte]))
    assert client.results == [MALFORMED]
    assert not client.connection.is_usable


@pytest.mark.parametrize(
    "name", [b"X Y", b"X ", b"Content-Length ", b"X\tY", b"X\x01Y", b"X\x7f"]
)
def test_response_with_no_token_for_a_name_is_malformed(client, name):
    odd = encode(b"own").replace(b"X\r\n", b"X\r\n" + name + b": 3\r\n")
    client.receive(odd)
    assert client.results == [MALFORMED]


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize(
    "data",
    [
        encode(b"body"),
        encode(b""),
        b"HTTP/1.1 100 Continue\r\n\r\n" + encode(b"body"),
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
        b"HTTP/1.1 204 X\r\nServer-Stamp: proof\r\n\r\n",
    ],
)
def test_response_cut_at_any_byte_is_none(data, is_reset):
    """Guards against a cut answer that counts as served."""
    for length in range(1, len(data)):
        client = _Client()
        client.receive(data[:length])
        reason = error.ConnectionLost() if is_reset else error.ConnectionDone()
        client.connection.connectionLost(failure.Failure(reason))
        assert client.results == [no_response_reason.NoResponseReason.CUT]


@pytest.mark.parametrize("is_reset", [False, True])
def test_response_without_a_length_is_none(client, is_reset):
    """Whether its connection ended in order or not."""
    client.receive(b"HTTP/1.1 200 X\r\nServer-Stamp: proof\r\n\r\nbody")
    reason = error.ConnectionLost() if is_reset else error.ConnectionDone()
    client.connection.connectionLost(failure.Failure(reason))
    assert client.results == [no_response_reason.NoResponseReason.CUT]
