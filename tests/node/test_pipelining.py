"""Requests that a client sends before the first one is answered.

Guards against answers out of order, requests that are refused or lost because
many came in one write, and requests that run though their answer can no longer
be sent.
"""

import pytest

from cranberrymux.node.http import answer_head
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import call_pipeline
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_connection
from cranberrymux.node.http import server_factory
from tests.fakes import memory_network
from tests.fakes import raw_client

CONCURRENT_CALLS = 3
PORT = 1


def _is_get(head):
    return head.method == b"GET"


class Server:
    """Answers calls when the test says so.

    Attributes:
        calls: All calls that were handled, in order.
        cancelled: Targets of those that were cancelled.
    """

    def __init__(self, may_run_ahead=_is_get):
        self.network = memory_network.MemoryNetwork()
        self.calls = []
        self.cancelled = []
        self.answers_at_once = False
        self.factory = server_factory.ServerFactory(
            self,
            limits.Limits(
                buffered_bytes=100, concurrent_calls=CONCURRENT_CALLS
            ),
            may_run_ahead,
        )
        self.network.listen(PORT, self.factory)

    def handle_call(self, call):
        self.calls.append(call)
        target = call.head.target
        call.on_cancel = lambda: self.cancelled.append(target)
        if self.answers_at_once:
            call.answer(200, [], target)

    def send(self, data):
        client = raw_client.RawClient()
        self.network.connect(PORT, client)
        client.send(data)
        self.network.run(0.005)
        return client

    def answer(self, *indexes):
        for index in indexes:
            self.calls[index].answer(200, [], self.calls[index].head.target)
        self.network.run(0.005)

    @property
    def targets(self):
        return [call.head.target for call in self.calls]


def get(*targets):
    return b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % target for target in targets)


def bodies(client):
    return [
        answer.partition(b"\r\n\r\n")[2]
        for answer in client.received.split(b"HTTP/1.1 ")[1:]
    ]


def expected(*targets):
    return [b"/%d" % target for target in targets]


@pytest.fixture
def server():
    return Server()


def test_requests_that_may_run_ahead_start_at_once(server):
    server.send(get(1, 2, 3))
    assert server.targets == expected(1, 2, 3)


def test_answers_are_sent_in_the_order_of_the_requests(server):
    client = server.send(get(1, 2, 3))
    server.answer(2, 1)
    assert client.received == b""
    server.answer(0)
    assert bodies(client) == expected(1, 2, 3)
    assert not client.is_closed


def test_no_more_than_the_bound_run_at_a_time(server):
    client = server.send(get(*range(10)))
    assert server.targets == expected(0, 1, 2)
    server.answer(1)
    assert server.targets == expected(0, 1, 2)
    server.answer(0)
    assert server.targets == expected(0, 1, 2, 3, 4)
    assert bodies(client) == expected(0, 1)


@pytest.mark.parametrize("count", [17, 20, 200, 1500])
@pytest.mark.parametrize("policy", [_is_get, call_pipeline.never_run_ahead])
def test_burst_in_one_write_is_answered_whole(count, policy):
    """Guards against a 400 to a request behind a bound, and a closed
    connection."""
    server = Server(policy)
    client = server.send(get(*range(count)))
    for index in range(count):
        server.answer(index)
    assert client.statuses == [200] * count
    assert bodies(client) == expected(*range(count))
    assert not client.is_closed


def test_burst_of_requests_that_are_answered_at_once(server):
    """Guards against recursion over the requests of one write."""
    server.answers_at_once = True
    client = server.send(get(*range(2000)))
    assert bodies(client) == expected(*range(2000))


def test_request_that_may_not_run_ahead_waits_for_those_before_it(server):
    post = b"POST /2 HTTP/1.1\r\ncontent-length: 2\r\n\r\nab"
    client = server.send(get(1) + post + get(3))
    assert server.targets == expected(1)
    server.answer(0)
    assert server.targets == expected(1, 2, 3)
    server.answer(2, 1)
    assert bodies(client) == expected(1, 2, 3)


def test_bodies_behind_requests_are_read_whole(server):
    chunked = (
        b"POST /2 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"4\r\nab\r\n\r\n0\r\n\r\n"
    )
    long = b"POST /3 HTTP/1.1\r\ncontent-length: 150\r\n\r\n" + b"x" * 150
    client = server.send(get(1) + chunked + long + get(4))
    for index in range(4):
        server.answer(index)
    assert server.calls[1].buffered_body() == b"ab\r\n"
    assert server.calls[2].buffered_body() == b"x" * 150
    assert bodies(client) == expected(1, 2, 3, 4)


def test_client_that_leaves_cancels_all_that_run(server):
    client = server.send(get(1, 2, 3, 4))
    client.transport.loseConnection()
    server.network.run(0.005)
    assert server.cancelled == expected(1, 2, 3)
    assert server.targets == expected(1, 2, 3)


def test_client_that_leaves_is_seen_behind_all_that_it_sent(server):
    """Guards against work for a client that has sent many requests and left."""
    client = server.send(get(*range(1, 101)))
    client.transport.loseConnection()
    server.network.run(0.005)
    assert server.cancelled == expected(1, 2, 3)
    assert server.targets == expected(1, 2, 3)


def test_no_more_than_the_bound_is_read_ahead(server):
    """Guards against memory that requests take which wait for others."""
    client = server.send(get(1, 2, 3, 4))
    request = b"GET / HTTP/1.1\r\nx: %b\r\n\r\n" % (b"y" * 9999)
    count = 2 * server_connection.READ_AHEAD_BYTES // len(request)
    for _ in range(count):
        client.send(request)
    server.network.run(0.005)
    unread = client.transport.peer.received_while_paused
    read_bytes = sum(map(len, count * [request])) - sum(map(len, unread))
    assert read_bytes < server_connection.READ_AHEAD_BYTES + 2 * len(request)
    server.answers_at_once = True
    server.answer(0, 1, 2)
    server.network.run(0.1)
    assert client.statuses == [200] * (4 + count)


def test_requests_that_run_are_answered_in_a_stop_and_no_other_starts(server):
    """Guards against requests that were passed on and get no answer."""
    client = server.send(get(1, 2, 3, 4, 5))
    server.factory.drain()
    server.answer(0, 1)
    assert not client.is_closed
    server.answer(2)
    assert server.targets == expected(1, 2, 3)
    assert bodies(client) == expected(1, 2, 3)
    assert client.received.count(b"connection: close") == 1
    assert client.is_closed


def test_stop_after_the_last_answer_was_held_closes_the_connection(server):
    client = server.send(get(1, 2))
    server.answer(1)
    server.factory.drain()
    server.answer(0)
    assert bodies(client) == expected(1, 2)
    assert client.is_closed


def test_no_request_starts_behind_one_that_closes_the_connection(server):
    last = b"GET /1 HTTP/1.1\r\nconnection: close\r\n\r\n"
    client = server.send(last + get(2))
    assert server.targets == expected(1)
    server.answer(0)
    assert server.targets == expected(1)
    assert client.is_closed


def test_truncated_answer_ends_the_connection_and_those_behind_it(server):
    client = server.send(get(1, 2))
    server.answer(1)
    server.calls[0].abort()
    server.network.run(0.005)
    assert client.received == b""
    assert client.is_closed


def test_truncated_answer_is_not_sent_before_those_ahead_of_it(server):
    client = server.send(get(1, 2))
    server.calls[1].abort()
    server.network.run(0.005)
    assert not client.is_closed
    server.answer(0)
    assert bodies(client) == expected(1)
    assert client.is_closed


@pytest.mark.parametrize(
    "rest", [b"NONSENSE\r\n\r\n", b"GET /4 HTTP/1.1\r\nbad\r\n\r\n"]
)
def test_bytes_that_are_no_request_close_after_the_answers_before(server, rest):
    client = server.send(get(1, 2) + rest)
    server.answer(1, 0)
    assert client.statuses == [200, 200, 400]
    assert server.targets == expected(1, 2)
    assert client.is_closed


def test_request_cut_in_its_head_behind_others_does_not_run(server):
    client = server.send(get(1, 2) + b"GET /3 HTT")
    server.answer(0, 1)
    client.transport.loseConnection()
    server.network.run(0.005)
    assert bodies(client) == expected(1, 2)
    assert server.targets == expected(1, 2)


def test_long_answer_that_is_held_asks_its_sender_to_pause(server):
    """Guards against memory that a slow first answer fills."""
    client = server.send(get(1, 2))
    events = []
    second = server.calls[1]
    second.on_send_buffer_full = lambda: events.append("full")
    second.on_send_buffer_drained = lambda: events.append("drained")
    size = call_pipeline.HELD_ANSWER_BYTES + 1
    head = answer_head.AnswerHead(200, [], body_mode.BodyMode.SIZED, size)
    second.start_answer(head)
    second.send_body(b"x" * size)
    assert events == ["full"]
    server.answer(0)
    assert events == ["full", "drained"]
    second.finish()
    server.network.run(1.0)
    assert client.received.endswith(b"x" * size)


def test_slow_first_request_does_not_delay_the_work_of_those_behind():
    """Four requests of 30 ms each: all are done after 30 ms, not 120 ms."""

    def simulate(policy):
        server = Server(policy)
        finished_s = []

        def handle(call):
            def answer():
                finished_s.append(server.network.seconds())
                call.answer(200, [], b"")

            server.network.callLater(0.03, answer)

        server.handle_call = handle
        server.send(get(1, 2, 3))
        server.network.run(0.2)
        return max(finished_s)

    assert simulate(_is_get) < 0.04
    assert simulate(call_pipeline.never_run_ahead) > 0.08
