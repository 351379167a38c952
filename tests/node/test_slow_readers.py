"""Clients that send requests and do not read the answers.

Guards against answers that pile up in memory: a client may send any number of
requests before it reads.
"""

import pytest

from cranberrymux.node.http import limits
from cranberrymux.node.http import server_connection
from cranberrymux.node.http import server_factory
from tests.node import test_closed_connections

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
BODY = b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd"
LIMITS = limits.Limits()


class Handler:
    """Answers each call at once."""

    def __init__(self):
        self.handled = 0

    def handle_call(self, call):
        self.handled += 1
        call.answer(200, [], b"ok")


class Transport(test_closed_connections.Transport):
    """Tells whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.is_reading = True

    def pauseProducing(self):
        self.is_reading = False

    def resumeProducing(self):
        self.is_reading = True


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def connection(handler):
    factory = server_factory.ServerFactory(handler, LIMITS)
    connection = factory.buildProtocol(None)
    connection.makeConnection(Transport())
    return connection


def test_no_further_request_is_handled_until_the_client_reads(
    connection, handler
):
    connection.dataReceived(REQUEST)
    connection.pauseProducing()
    connection.dataReceived(REQUEST * 10)
    assert handler.handled == 1
    connection.resumeProducing()
    assert handler.handled == 11


def test_reading_pauses_while_much_is_unread_on_both_sides(connection, handler):
    connection.pauseProducing()
    held = server_connection.READ_AHEAD_BYTES // len(REQUEST) + 1
    connection.dataReceived(REQUEST * held)
    assert not connection.transport.is_reading
    connection.resumeProducing()
    assert connection.transport.is_reading
    assert handler.handled == held


def test_body_in_progress_is_read_on(connection, handler):
    """The answer to an upload may fill the buffer before the upload ends."""
    connection.dataReceived(BODY[:-2])
    connection.pauseProducing()
    connection.dataReceived(BODY[-2:] + REQUEST)
    assert handler.handled == 1
    connection.resumeProducing()
    assert handler.handled == 2


def test_client_that_leaves_ends_the_held_requests(connection, handler):
    connection.pauseProducing()
    test_closed_connections.end(connection, REQUEST * 3)
    assert handler.handled == 0
