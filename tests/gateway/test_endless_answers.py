"""Bytes without end, from backend servers, nodes and clients.

Guards against a sender that writes a head, a 1xx answer, lines of chunks,
trailers or a body until its connection is closed: what was read was kept or
parsed until the deadline.
"""

import pytest
import structlog

from tests.fakes import raw_backend
from tests.fakes import raw_client

BYTES_PER_S = 8_000_000
INTERVAL_S = 0.005
MAXIMUM_READ_BYTES = 2_000_000
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: proof\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# The beginning of an answer, and what follows again and again.
ENDLESS = {
    "status-line": (b"HTTP/1.1 200 ", b"x" * 1000),
    "no-answer": (b"", b"x" * 1000),
    "header-line": (HEAD + b"X: ", b"x" * 1000),
    "header-name": (HEAD, b"x" * 1000),
    "headers": (HEAD, b"a: b\r\n" * 200),
    "interim-answers": (b"", b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" * 40),
    "interim-head": (b"HTTP/1.1 103 Early\r\n", b"a: b\r\n" * 200),
    "empty-lines": (b"", b"\r\n" * 500),
    "chunk-size": (CHUNKED, b"0" * 1000),
    "chunk-extension": (CHUNKED + b"5;", b"x" * 1000),
    "chunk-extensions": (CHUNKED, b"1;" + b"x" * 1000 + b"\r\nx\r\n"),
    "trailer-line": (CHUNKED + b"5\r\nwhole\r\n0\r\nX: ", b"x" * 1000),
    "trailers": (CHUNKED + b"5\r\nwhole\r\n0\r\n", b"a: b\r\n" * 200),
    "body-of-another": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n"
        b"Content-Length: 100000000\r\n\r\n",
        b"x" * 1000,
    ),
}


class EndlessWriter:
    """Writes to a connection until it is closed.

    Attributes:
        written: Number of bytes written.
    """

    def __init__(self, network, connection, beginning, again):
        self.written = 0
        self._network = network
        self._connection = connection
        self._again = again
        connection.send(beginning)
        self._write()

    def _write(self):
        if self._connection.is_closed:
            return
        count = int(BYTES_PER_S * INTERVAL_S) // len(self._again)
        self._connection.send(self._again * count)
        self.written += len(self._again) * count
        self._network.callLater(INTERVAL_S, self._write)


def write_endless(mesh, backend, part):
    """Lets a backend server answer without end; returns its writer."""
    writers = []

    def answer(request):
        writer = EndlessWriter(mesh.network, request.connection, *ENDLESS[part])
        writers.append(writer)

    backend.on_request = answer
    client = mesh.ask(0, "/write/x", method="POST", wait=1.0)
    return client, writers[0]


@pytest.mark.parametrize("part", list(ENDLESS))
def test_endless_answer_of_a_backend_server_is_closed(mesh, backend, part):
    with structlog.testing.capture_logs() as lines:
        client, writer = write_endless(mesh, backend, part)
    assert writer.written <= MAXIMUM_READ_BYTES
    assert backend.requests[0].connection.is_closed
    assert client.statuses == [502]
    events = [line["event"] for line in lines]
    assert "backend-answer-lost" in events
    health = mesh.members[1].gateway._exit.work.health
    assert health.failure_rate > 0


def test_endless_answer_of_a_node_is_closed(mesh):
    node = raw_backend.RawBackend(mesh.network, mesh.members[1].entry_port + 1)
    for part in ENDLESS:
        node.requests.clear()
        client, writer = write_endless(mesh, node, part)
        assert writer.written <= MAXIMUM_READ_BYTES, part
        assert client.statuses == [502], part


@pytest.mark.parametrize("framing", [b"Transfer-Encoding: chunked\r\n", b""])
def test_endless_body_is_closed_at_the_deadline(mesh, backend, framing):
    head = HEAD + framing + b"\r\n"
    again = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
    writers = []

    def answer(request):
        writers.append(
            EndlessWriter(mesh.network, request.connection, head, again)
        )

    backend.on_request = answer
    client = mesh.ask(0, "/read/x", wait=1.5)
    assert client.statuses == [200]
    assert client.is_reset
    assert backend.requests[0].connection.is_closed
    assert writers[0].written <= 1.5 * BYTES_PER_S


def test_long_answer_that_ends_is_served(mesh, backend):
    body = b"".join(b"1\r\nx\r\n" for _ in range(200_000))

    def answer(request):
        request.connection.send(CHUNKED + body + b"0\r\n\r\n")

    backend.on_request = answer
    client = mesh.ask(0, "/read/x", wait=1.0)
    assert client.statuses == [200]
    assert client.received.endswith(b"\r\n\r\n" + b"x" * 200_000)


@pytest.mark.parametrize("part", list(ENDLESS))
def test_endless_answer_to_a_health_check_is_closed(mesh, backend, part):
    writers = []

    def answer(request):
        writers.append(
            EndlessWriter(mesh.network, request.connection, *ENDLESS[part])
        )

    backend.on_request = answer
    mesh.restart(1)
    mesh.network.run(0.9)
    assert backend.requests[0].path == "/health"
    assert backend.requests[0].connection.is_closed
    assert writers[0].written <= MAXIMUM_READ_BYTES


REQUEST = (
    b"POST /write/x HTTP/1.1\r\nHost: records.example\r\nRequest-Id: r1\r\n"
)
CHUNKED_REQUEST = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_REQUESTS = {
    "method": (b"", b"x" * 1000),
    "target": (b"GET /", b"x" * 1000),
    "header-line": (REQUEST + b"X: ", b"x" * 1000),
    "headers": (REQUEST, b"a: b\r\n" * 200),
    "empty-lines": (b"", b"\r\n" * 500),
    "chunk-size": (CHUNKED_REQUEST, b"0" * 1000),
    "chunk-extension": (CHUNKED_REQUEST + b"5;", b"x" * 1000),
    "chunk-extensions": (CHUNKED_REQUEST, b"1;" + b"x" * 1000 + b"\r\nx\r\n"),
    "trailers": (CHUNKED_REQUEST + b"5\r\nwhole\r\n0\r\n", b"a: b\r\n" * 200),
}


@pytest.mark.parametrize("part", list(ENDLESS_REQUESTS))
def test_endless_request_of_a_client_is_closed(mesh, part):
    client = raw_client.RawClient()
    mesh.network.connect(mesh.members[0].entry_port, client)
    writer = EndlessWriter(mesh.network, client, *ENDLESS_REQUESTS[part])
    mesh.network.run(1.0)
    assert client.is_closed
    assert writer.written <= MAXIMUM_READ_BYTES
    assert all(status >= 400 for status in client.statuses)
