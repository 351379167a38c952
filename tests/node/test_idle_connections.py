"""Connections that a node keeps open between requests.

Guards against connections that grow with the number of instances, and with
the largest burst of requests since the start.
"""

import math

import pytest

from cranberrymux.models import socket_address
from cranberrymux.node.http import idle_connections

MAXIMUM = idle_connections.MAXIMUM_IDLE
LIFETIME_S = idle_connections.IDLE_LIFETIME_S


def make_address(number=0):
    return socket_address.SocketAddress("10.0.0.1", 1000 + number)


class Connection:
    def __init__(self, idle):
        self._idle = idle
        self.is_usable = True
        self.is_closed = False
        self.reusable_until_s = math.inf
        self.sent = None

    def note_idle(self, now_s):
        del now_s

    def has_sent(self, identity):
        return identity is not None and identity == self.sent

    def close(self):
        self.is_closed = True
        self._idle.remove(self)


@pytest.fixture
def idle():
    return idle_connections.IdleConnections()


def add(idle, count, now_s=0.0, address=None):
    made = []
    for number in range(count):
        made.append(Connection(idle))
        idle.add(address or make_address(number), made[-1], now_s)
    return made


def test_takes_the_connection_that_was_used_last(idle):
    made = add(idle, 3, address=make_address())
    assert idle.take(make_address(), None, 0.0) is made[2]
    assert idle.take(make_address(), None, 0.0) is made[1]
    assert idle.take(make_address(1), None, 0.0) is None


def test_number_is_bounded_over_all_addresses(idle):
    made = add(idle, MAXIMUM + 10)
    assert idle.count == MAXIMUM
    assert [connection.is_closed for connection in made] == [True] * 10 + [
        False
    ] * MAXIMUM


def test_address_in_use_keeps_its_connection(idle):
    """Guards against closing what is used all the time for what is not."""
    busy = Connection(idle)
    idle.add(make_address(9999), busy, 0.0)
    for number in range(2 * MAXIMUM):
        now_s = number / 1000
        assert idle.take(make_address(9999), None, now_s) is busy
        idle.add(make_address(9999), busy, now_s)
        idle.add(make_address(number), Connection(idle), now_s)
    assert not busy.is_closed


def test_connections_of_a_burst_close_when_it_is_over(idle):
    made = add(idle, 20, address=make_address())
    for number in range(1, 40):
        now_s = number / 39 * (LIFETIME_S + 1.0)
        idle.add(make_address(), idle.take(make_address(), None, now_s), now_s)
    assert [connection.is_closed for connection in made] == [True] * 19 + [
        False
    ]


def test_connections_that_cannot_be_used_are_dropped(idle):
    made = add(idle, 4, address=make_address())
    made[3].is_usable = False
    made[2].reusable_until_s = 1.0
    made[1].sent = "r1"
    assert idle.take(make_address(), "r1", 2.0) is made[0]
    assert made[2].is_closed
    assert idle.count == 1


def test_one_is_closed_if_the_request_was_sent_on_all(idle):
    made = add(idle, 2, address=make_address())
    for connection in made:
        connection.sent = "r1"
    assert idle.take(make_address(), "r1", 0.0) is None
    assert [connection.is_closed for connection in made] == [False, True]


def test_close_all_closes_every_connection(idle):
    made = add(idle, 5)
    idle.close_all()
    assert idle.count == 0
    assert all(connection.is_closed for connection in made)
