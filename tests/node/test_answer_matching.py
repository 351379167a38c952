"""Guards against a caller that gets another call's, a cut or a second answer.

That happens when answers arrive late, after a retry or on a reused connection.
Each mechanism is also disabled in turn, which the check must detect.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.models import socket_address
from cranberrymux.node.http import answer_matcher
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import correlation
from cranberrymux.node.http import request_identity
from tests import profiles
from tests.fakes import memory_network
from tests.fakes import raw_backend

ADDRESS = socket_address.SocketAddress("127.0.0.1", 1)
HEADER = correlation.HEADER.decode()
STEP_S = 0.001


class Call:
    """A call that keeps all answers it gets.

    Implements `answer_sink.AnswerSink`.

    Attributes:
        number: Number of the call, which its whole answer names.
        answers: Bodies of the answers that were told to be complete.
        losses: Answers that were told to be lost.
        has_ended: True once the caller has gone.
    """

    def __init__(self, number, pool):
        self.number = number
        self.answers = []
        self.losses = []
        self.has_ended = False
        self._body = b""
        self._connection = None
        self._lease = pool.take(ADDRESS, self._send, self.losses.append)

    def end(self):
        """Ends the call as a caller that disconnects does."""
        if self.has_ended or self.answers or self.losses:
            return
        self.has_ended = True
        self._lease.is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()

    def answer_interim(self, status, extra):
        pass

    def answer_started(self, head):
        self._body = b""

    def answer_part(self, part):
        self._body += part

    def answer_complete(self):
        self.answers.append(self._body)

    def answer_lost(self, loss):
        self.losses.append(loss)

    def _send(self, connection):
        self._connection = connection
        identity = correlation.make_identity()
        correlation_id = identity.value.decode()
        request = (
            f"GET /{self.number} HTTP/1.1\r\n{HEADER}: {correlation_id}\r\n\r\n"
        )
        connection.send_request(request.encode(), True, False, self, identity)


class Exchange:
    """Calls through one pool to a receiver that writes raw bytes."""

    def __init__(self):
        self.network = memory_network.MemoryNetwork()
        self.receiver = raw_backend.RawBackend(self.network, ADDRESS.port)
        self._pool = connection_pool.ConnectionPool(self.network)
        self.calls = []

    def begin(self):
        call = Call(len(self.calls), self._pool)
        self.calls.append(call)
        self.run()
        return call

    def run(self):
        self.network.run(STEP_S)

    def send(self, connection, data):
        connection.send(data)
        self.run()


def whole_body(request):
    return b"whole answer to " + request.path.encode()


def encode(request):
    body = whole_body(request)
    head = "HTTP/1.1 200 OK\r\n{}: {}\r\ncontent-length: {}\r\n\r\n"
    correlation_id = request.headers[HEADER]
    return head.format(HEADER, correlation_id, len(body)).encode() + body


@pytest.fixture
def exchange():
    return Exchange()


def test_second_answer_and_answer_after_the_end_are_discarded(exchange):
    call = exchange.begin()
    (request,) = exchange.receiver.requests
    exchange.send(request.connection, encode(request) * 2)
    exchange.send(request.connection, encode(request))
    assert call.answers == [whole_body(request)]
    ended = exchange.begin()
    request = exchange.receiver.requests[1]
    ended.end()
    exchange.send(request.connection, encode(request))
    assert ended.answers == []


def test_two_calls_of_one_request_each_get_their_own_answer(exchange):
    calls = [exchange.begin(), exchange.begin()]
    for request in reversed(exchange.receiver.requests):
        exchange.send(request.connection, encode(request))
    for call, request in zip(calls, exchange.receiver.requests, strict=True):
        assert call.answers == [whole_body(request)]


def test_answer_to_another_call_leaves_the_call_waiting(exchange):
    first, second = exchange.begin(), exchange.begin()
    requests = exchange.receiver.requests
    exchange.send(requests[1].connection, encode(requests[0]))
    assert (first.answers, second.answers, second.losses) == ([], [], [])
    exchange.send(requests[1].connection, encode(requests[1]))
    assert second.answers == [whole_body(requests[1])]


SIZED = b"content-length: 5\r\n\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("framing", "parts", "whole"),
    [
        (SIZED, [b"ab", b"cde"], b"abcde"),
        (SIZED, [b"ab", b"cd"], None),
        (SIZED, [], None),
        (b"content-length: 0\r\n\r\n", [], b""),
        (CHUNKED, [b"4\r\nabcd\r\n", b"0\r\n\r\n"], b"abcd"),
        (CHUNKED, [b"4\r\nabcd\r\n"], None),
        (CHUNKED, [b"4\r\nabcd\r\n", b"0\r\n"], None),
        (CHUNKED, [b"4\r\nabc"], None),
        (b"\r\n", [b"abcde"], None),
        (b"content-length: 5\r\ncontent-length: 4\r\n\r\n", [b"abcde"], None),
    ],
)
def test_answer_is_whole_at_its_end_with_the_announced_length(
    exchange, framing, parts, whole
):
    call = exchange.begin()
    (request,) = exchange.receiver.requests
    connection = request.connection
    head = f"HTTP/1.1 200 OK\r\n{HEADER}: {request.headers[HEADER]}\r\n"
    for data in (head.encode() + framing, *parts):
        exchange.send(connection, data)
    connection.close()
    exchange.run()
    assert call.answers == ([] if whole is None else [whole])
    assert len(call.losses) == (whole is None)


def test_bytes_beyond_the_announced_length_close_the_connection(exchange):
    call = exchange.begin()
    (request,) = exchange.receiver.requests
    exchange.send(request.connection, encode(request) + b"x")
    assert call.answers == [whole_body(request)]
    assert request.connection.is_closed


MAXIMUM_CALLS = 4
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["begin", "answer", "answer", "answer", "cut", "end"]
        ),
        strategies.integers(0, MAXIMUM_CALLS - 1),
        strategies.integers(0, MAXIMUM_CALLS - 1),
        strategies.integers(1, 2),
        strategies.booleans(),
    ),
    max_size=15,
)


def check_deliveries(steps):
    """Checks what calls get from a receiver that answers as it likes.

    Each step begins or ends a call, or has the receiver write an answer to any
    request on the connection of any request, once or twice, at once or in two
    reads; a cut one ends the connection.
    """
    exchange = Exchange()
    exchange.begin()
    for action, number, sender, count, is_split in steps:
        requests = exchange.receiver.requests
        if action == "begin" and len(exchange.calls) < MAXIMUM_CALLS:
            exchange.begin()
        elif action == "end" and number < len(exchange.calls):
            exchange.calls[number].end()
            exchange.run()
        elif action in ("answer", "cut") and max(number, sender) < len(
            requests
        ):
            connection = requests[number].connection
            data = encode(requests[sender]) * count
            if is_split:
                exchange.send(connection, data[:-3])
                data = data[-3:]
            if action == "cut":
                exchange.send(connection, data[:-1])
                connection.close()
                exchange.run()
            else:
                exchange.send(connection, data)
        _check_calls(exchange)


def _check_calls(exchange):
    for call in exchange.calls:
        own = [b"whole answer to /%d" % call.number]
        assert call.answers in ([], own)
        assert not (call.answers and call.losses)
        assert not (call.answers and call.has_ended)


@profiles.DETERMINISTIC
@hypothesis.given(STEPS)
def test_each_answer_is_delivered_to_its_own_call_once_and_whole(steps):
    check_deliveries(steps)


def _finish_without_forgetting(self, is_kept):
    sink = self._sink
    _finish(self, is_kept)
    self._sink = sink


_finish = client_connection.ClientConnection._finish
_Connection = client_connection.ClientConnection

MUTATIONS = {
    "the id is not compared": (
        answer_matcher.AnswerMatcher,
        "find_mismatch",
        lambda self, headers: None,
    ),
    "two sendings have one id": (
        correlation,
        "make_identity",
        lambda: request_identity.RequestIdentity(correlation.HEADER, b"1"),
    ),
    "the end of a connection ends an answer": (
        _Connection,
        "_is_ended_by_close",
        lambda self, reason: self._is_answer_started,
    ),
    "a second answer is delivered": (
        _Connection,
        "_finish",
        _finish_without_forgetting,
    ),
    "the end of a call is not recorded": (
        _Connection,
        "cancel",
        lambda self: None,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_check_fails_when_a_mechanism_is_disabled(monkeypatch, name):
    monkeypatch.setattr(*MUTATIONS[name])

    @profiles.SEARCHING
    @hypothesis.given(STEPS)
    def check_quickly(steps):
        check_deliveries(steps)

    with pytest.raises(AssertionError):
        check_quickly()
