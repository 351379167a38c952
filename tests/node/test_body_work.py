"""Work that reading the body of a request takes.

Guards against a client that occupies a node's processor for seconds with a
body of many empty lines, which look like the ends of heads.
"""

import time

import pytest

from cranberrymux.node.http import limits
from cranberrymux.node.http import server_connection
from tests.fakes import memory_network

READ_BYTES = 65_536
# A body that is four times as long may take so many times as long, at most.
# Linear work takes four times, quadratic work sixteen.
MAXIMUM_RATIO = 8.0
HEADS = {
    "sized": b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n",
    "chunked": b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n",
}


class Handler:
    """Takes the body of each call as it comes.

    Attributes:
        body_bytes: Bytes of all bodies.
        is_complete: True once a body has ended.
    """

    def __init__(self):
        self.body_bytes = 0
        self.is_complete = False

    def handle_call(self, call):
        call.stream_body_to(self)

    def body_part(self, part):
        self.body_bytes += len(part)

    def body_complete(self):
        self.is_complete = True

    def body_aborted(self):
        pass


class Reader:
    """A connection that reads one request.

    Attributes:
        feeds: Number of times that the parser got something.
    """

    def __init__(self):
        self.handler = Handler()
        self.feeds = 0
        network = memory_network.MemoryNetwork()
        transport = memory_network.MemoryTransport(network)
        transport.peer = memory_network.MemoryTransport(network)
        self._connection = server_connection.ServerConnection(
            self.handler, limits.Limits()
        )
        self._connection.makeConnection(transport)
        feed = self._connection._reader.feed

        def count(data):
            self.feeds += 1
            return feed(data)

        self._connection._reader.feed = count

    def read(self, framing, body, read_bytes):
        """Reads a request; returns the processor time in seconds."""
        data = HEADS[framing] % len(body) + body
        if framing == "chunked":
            data += b"\r\n0\r\n\r\n"
        began_s = time.process_time()
        for start in range(0, len(data), read_bytes):
            self._connection.dataReceived(data[start : start + read_bytes])
        ended_s = time.process_time()
        assert self.handler.body_bytes == len(body)
        assert self.handler.is_complete
        return ended_s - began_s


@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("extra_bytes", [0, 1, 2, 3])
def test_empty_lines_in_a_body_are_read_in_few_parts(framing, extra_bytes):
    reader = Reader()
    body = b"x" * extra_bytes + b"\r\n\r\n" * 50_000
    reader.read(framing, body, READ_BYTES)
    reads = len(body) // READ_BYTES + 1
    assert reader.feeds <= 3 * reads + 3


@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("line", [b"\r\n\r\n", b"x\r\n\r\n"])
def test_work_for_a_body_is_linear_in_its_size(framing, line):
    """Guards against copying the rest of a read at each empty line."""

    def measure_s(size):
        body = line * (size // len(line))
        return min(Reader().read(framing, body, size) for _ in range(3))

    shorter_s = measure_s(250_000)
    assert measure_s(1_000_000) < MAXIMUM_RATIO * max(shorter_s, 0.002)


@pytest.mark.parametrize("framing", HEADS)
def test_requests_behind_a_body_of_empty_lines_are_read(framing):
    """Guards against a boundary that is missed behind such a body."""
    handler = Handler()
    targets = []
    handler.handle_call = lambda call: (
        targets.append(call.head.target),
        call.answer(200, [], b""),
    )
    body = b"\r\n\r\n" * 20
    data = HEADS[framing] % len(body) + body
    if framing == "chunked":
        data += b"\r\n0\r\n\r\n"
    data += b"\r\nGET /next HTTP/1.1\r\n\r\n"
    for length in range(1, len(data)):
        targets.clear()
        network = memory_network.MemoryNetwork()
        transport = memory_network.MemoryTransport(network)
        transport.peer = memory_network.MemoryTransport(network)
        connection = server_connection.ServerConnection(
            handler, limits.Limits()
        )
        connection.makeConnection(transport)
        connection.dataReceived(data[:length])
        connection.dataReceived(data[length:])
        assert targets == [b"/", b"/next"]
