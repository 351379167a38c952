"""State in which a connection goes back to the pool and is lent again.

Guards against requests that are lost, or get no answer, since their connection
is not at rest when it is lent.
"""

import pytest

from cranberrymux.models import socket_address
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from tests.fakes import memory_network
from tests.fakes import raw_backend

ADDRESS = socket_address.SocketAddress("10.0.0.1", 1)
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"


class Sink:
    """Records the answer; calls `on_part` with the connection at each part."""

    def __init__(self, on_part=None):
        self.on_part = on_part
        self.connection = None
        self.body = b""
        self.ends = []

    def send(self, connection):
        self.connection = connection
        connection.send_request(
            b"GET / HTTP/1.1\r\nhost: h\r\n\r\n", True, False, self
        )

    def answer_started(self, head):
        pass

    def answer_part(self, part):
        self.body += part
        if self.on_part is not None:
            self.on_part(self.connection)

    def answer_complete(self):
        self.ends.append("complete")

    def answer_lost(self, loss):
        self.ends.append(loss.reason)

    def request_buffer_full(self):
        pass

    def request_buffer_drained(self):
        pass


@pytest.fixture
def network():
    return memory_network.MemoryNetwork()


@pytest.fixture
def pool(network):
    return connection_pool.ConnectionPool(network)


def fail(loss):
    raise AssertionError(loss)


def test_connection_paused_by_a_slow_caller_is_read_again(network, pool):
    """Guards against a request that waits on a paused connection forever."""
    backend = raw_backend.RawBackend(
        network, 1, lambda request: request.connection.send(ANSWER)
    )
    slow = Sink(client_connection.ClientConnection.pause_answer)
    pool.take(ADDRESS, slow.send, fail)
    network.run(0.01)
    assert slow.ends == ["complete"]
    following = Sink()
    pool.take(ADDRESS, following.send, fail)
    network.run(0.01)
    assert following.ends == ["complete"]
    assert following.body == b"body"
    assert len(backend.connections) == 1


def test_pause_after_the_answer_does_not_stop_the_next_one(network, pool):
    raw_backend.RawBackend(
        network, 1, lambda request: request.connection.send(ANSWER)
    )
    first = Sink()
    pool.take(ADDRESS, first.send, fail)
    network.run(0.01)
    first.connection.pause_answer()
    following = Sink()
    pool.take(ADDRESS, following.send, fail)
    network.run(0.01)
    assert following.ends == ["complete"]


def test_connection_closed_before_the_end_of_a_request_is_not_lent(
    network, pool
):
    """Guards against a request sent on a connection that is being closed."""
    backend = raw_backend.RawBackend(
        network, 1, lambda request: request.connection.send(ANSWER)
    )
    early = Sink()

    def send_first_part(connection):
        early.connection = connection
        connection.send_request(
            b"POST / HTTP/1.1\r\nhost: h\r\n\r\n", False, False, early
        )
        early.answer_complete = connection.end_body

    pool.take(ADDRESS, send_first_part, fail)
    network.connect_delays_s[1] = 0.05
    following = Sink()
    pool.take(ADDRESS, following.send, fail)
    network.run(0.1)
    assert following.ends == ["complete"]
    assert [
        len(connection.request_ids) for connection in backend.connections
    ] == [1, 1]
