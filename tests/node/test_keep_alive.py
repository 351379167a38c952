"""Reuse of idle connections by the `Keep-Alive` header.

Guards against sending a request on a connection that its receiver is about to
close for being idle, by which the request is lost.
"""

import math

import pytest

from cranberrymux.models import socket_address
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import keep_alive
from tests.fakes import backend
from tests.fakes import memory_network

ADDRESS = socket_address.SocketAddress("10.0.0.1", 1)


@pytest.mark.parametrize(
    ("value", "reuse_time_s"),
    [
        (b"timeout=10", 9.0),
        (b"max=5, timeout=2", 1.6),
        (b"Timeout = 10", 9.0),
        (b"max=5", math.inf),
        (b"", math.inf),
    ],
)
def test_reuse_time_is_the_announced_timeout_less_a_margin(value, reuse_time_s):
    assert keep_alive.parse_reuse_time_s(value) == pytest.approx(reuse_time_s)


@pytest.mark.parametrize(("pause_s", "connections"), [(8.0, 1), (9.5, 2)])
def test_connection_is_not_reused_shortly_before_its_receiver_closes_it(
    pause_s, connections
):
    network = memory_network.MemoryNetwork()
    backend.Backend(
        network,
        1,
        lambda call: call.answer(200, [(b"keep-alive", b"timeout=10")], b""),
    )
    pool = connection_pool.ConnectionPool(network)

    class Sink:
        def __getattr__(self, name):
            return lambda *_: None

    for _ in range(2):
        pool.take(
            ADDRESS,
            lambda connection: connection.send_request(
                b"GET / HTTP/1.1\r\nhost: h\r\n\r\n", True, False, Sink()
            ),
            lambda loss: None,
        )
        network.run(pause_s, step_s=0.1)
    assert len(network.transports) == 2 * connections
