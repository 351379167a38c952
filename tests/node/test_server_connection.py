"""Server side of HTTP/1.1: order of answers, framing, limits, bad input.

Guards against answers in the wrong order, unbounded buffers and requests that
reach a handler though their framing is ambiguous. These come about with
pipelined calls, slow receivers, and clients that send anything at all.
"""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.node.http import answer_head
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory
from tests import profiles
from tests.fakes import memory_network
from tests.fakes import raw_client

LIMITS = limits.Limits(
    target_bytes=100,
    header_bytes=400,
    header_count=10,
    body_bytes=1000,
    buffered_bytes=100,
    concurrent_calls=3,
)
PORT = 1


class Handler:
    def __init__(self):
        self.calls = []
        self.answer = None

    def handle_call(self, call):
        self.calls.append(call)
        if self.answer is not None:
            self.answer(call)


class Server:
    def __init__(self):
        self.network = memory_network.MemoryNetwork()
        self.handler = Handler()
        self.factory = server_factory.ServerFactory(self.handler, LIMITS)
        self.network.listen(PORT, self.factory)

    @property
    def calls(self):
        return self.handler.calls

    def connect(self):
        client = raw_client.RawClient()
        self.network.connect(PORT, client)
        return client

    def send(self, data):
        client = self.connect()
        client.send(data)
        self.network.run(0.005)
        return client


@pytest.fixture
def server():
    return Server()


def _parse_error_body(client):
    return json.loads(client.received.rpartition(b"\r\n\r\n")[2])


def test_pipelined_calls_are_answered_in_order(server):
    client = server.send(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
    assert [call.head.target for call in server.calls] == [b"/1"]
    server.calls[0].answer(200, [], b"one")
    assert [call.head.target for call in server.calls] == [b"/1", b"/2"]
    server.calls[1].answer(200, [], b"two")
    server.network.run(0.005)
    first, second = client.received.split(b"HTTP/1.1 ")[1:]
    assert first.endswith(b"one")
    assert second.endswith(b"two")
    assert not client.is_closed


def test_pipelined_calls_wait_while_one_is_handled(server):
    client = server.send(b"GET /1 HTTP/1.1\r\n\r\n" * 2)
    client.send(b"GET /3 HTTP/1.1\r\n\r\n")
    server.network.run(0.005)
    assert len(server.calls) == 1
    for number in range(3):
        server.calls[number].answer(200, [], b"")
        server.network.run(0.005)
    assert client.statuses == [200, 200, 200]


def test_bad_request_behind_a_valid_one_is_rejected_after_its_answer(server):
    client = server.send(b"GET /1 HTTP/1.1\r\n\r\nNONSENSE\r\n\r\n")
    assert client.received == b""
    server.calls[0].answer(200, [], b"one")
    server.network.run(0.005)
    assert client.statuses == [200, 400]
    assert client.is_closed


@pytest.mark.parametrize(
    ("request_bytes", "status", "reason"),
    [
        (b"NONSENSE\r\n\r\n", 400, "bad-request"),
        (b"GET / HTTP/1.1\r\nbad header\r\n\r\n", 400, "bad-request"),
        (
            b"POST / HTTP/1.1\r\ncontent-length: 1\r\n"
            b"transfer-encoding: chunked\r\n\r\n",
            400,
            "bad-request",
        ),
        (
            b"POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n",
            400,
            "bad-request",
        ),
        (
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            400,
            "bad-request",
        ),
        (b"GET /" + b"a" * 200 + b" HTTP/1.1\r\n\r\n", 414, "too-large"),
        (
            b"GET / HTTP/1.1\r\na: " + b"a" * 500 + b"\r\n\r\n",
            431,
            "too-large",
        ),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 11 + b"\r\n", 431, "too-large"),
        (
            b"POST / HTTP/1.1\r\ncontent-length: 1001\r\n\r\n",
            413,
            "too-large",
        ),
        (b"GET / HTTP/1.1\r\nexpect: magic\r\n\r\n", 417, "bad-request"),
        (
            b"POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
            501,
            "bad-request",
        ),
        (
            b"POST / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n"
            b"content-length: 2\r\n\r\nab",
            501,
            "bad-request",
        ),
        (b"CONNECT a.example:1 HTTP/1.1\r\n\r\n", 501, "bad-request"),
    ],
)
def test_bad_request_is_rejected_as_not_run_and_reaches_no_handler(
    server, request_bytes, status, reason
):
    client = server.send(request_bytes)
    assert client.statuses == [status]
    assert client.is_closed
    error = _parse_error_body(client)
    assert (error["answer"], error["reason"]) == ("not-run", reason)
    assert error["detail"]
    assert server.calls == []


def test_body_over_the_limit_is_rejected_as_unknown_once_it_streams(server):
    chunk = b"64\r\n" + b"x" * 100 + b"\r\n"
    head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
    client = server.send(head + chunk * 11)
    assert client.statuses == [413]
    assert _parse_error_body(client)["answer"] == "unknown"


def test_expect_100_continue_gets_a_100_answer_before_the_body(server):
    client = server.send(
        b"POST / HTTP/1.1\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n"
    )
    assert client.statuses == [100]
    client.send(b"ok")
    server.network.run(0.005)
    server.calls[0].answer(200, [], b"")
    server.network.run(0.005)
    assert client.statuses == [100, 200]


def test_answer_to_head_has_no_body_and_the_connection_stays_open(server):
    client = server.send(b"HEAD / HTTP/1.1\r\n\r\n")
    server.calls[0].answer(200, [], b"body")
    server.network.run(0.005)
    assert client.received.endswith(b"content-length: 4\r\n\r\n")
    assert not client.is_closed


def test_http_1_0_connection_closes_after_the_answer(server):
    client = server.send(b"GET / HTTP/1.0\r\n\r\n")
    server.calls[0].answer(200, [], b"body")
    server.network.run(0.005)
    assert client.is_closed
    assert client.received.endswith(b"body")


def test_answer_before_the_end_of_the_body_closes_the_connection(server):
    client = server.send(
        b"POST / HTTP/1.1\r\ncontent-length: 900\r\n\r\n" + b"x" * 200
    )
    server.calls[0].answer(200, [], b"")
    server.network.run(0.005)
    assert client.statuses == [200]
    assert client.is_closed


def test_short_body_is_buffered_whole_and_long_body_is_streamed(server):
    server.send(b"POST / HTTP/1.1\r\ncontent-length: 50\r\n\r\n" + b"x" * 49)
    assert server.calls == []
    server.send(b"POST / HTTP/1.1\r\ncontent-length: 500\r\n\r\n" + b"x" * 150)
    assert not server.calls[0].is_body_complete


def test_reading_stops_while_the_body_is_paused(server):
    client = server.send(
        b"POST / HTTP/1.1\r\ncontent-length: 500\r\n\r\n" + b"x" * 150
    )
    call = server.calls[0]
    call.pause_body()
    client.send(b"x" * 100)
    server.network.run(0.005)
    assert call.body_length == 150
    call.resume_body()
    server.network.run(0.005)
    assert call.body_length == 250


@pytest.mark.parametrize(
    "rest",
    [
        b"not a chunk\r\n",
        b"3e8\r\n" + b"x" * 1000 + b"\r\n0\r\n\r\n",
        b"0\r\n\r\nNONSENSE\r\n\r\n",
    ],
)
def test_call_answered_before_its_body_gets_no_second_answer(server, rest):
    """Guards against a rejection behind the answer that ends a connection."""
    server.handler.answer = lambda call: call.answer(404, [], b"")
    chunk = b"65\r\n" + b"x" * 101 + b"\r\n"
    head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
    client = server.send(head + chunk + rest)
    assert client.statuses == [404]
    assert client.is_closed


def test_data_behind_a_last_answered_call_gets_no_answer(server):
    server.handler.answer = lambda call: call.answer(200, [], b"")
    client = server.send(
        b"GET /1 HTTP/1.1\r\nconnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
    )
    assert client.statuses == [200]
    assert client.is_closed


def test_call_behind_an_answer_that_ends_the_connection_is_not_handled(server):
    """Guards against running a request whose client sees the connection end."""
    server.handler.answer = lambda call: call.answer(404, [], b"")
    client = server.send(
        b"POST /1 HTTP/1.1\r\ncontent-length: 200\r\n\r\n"
        + b"x" * 200
        + b"GET /2 HTTP/1.1\r\n\r\n"
    )
    assert [call.head.target for call in server.calls] == [b"/1"]
    assert client.statuses == [404]
    assert client.is_closed


@pytest.mark.parametrize(
    "rest", [b"not a chunk\r\n", (b"64\r\n" + b"x" * 100 + b"\r\n") * 10]
)
def test_waiting_call_with_a_bad_body_is_rejected_and_not_handled(server, rest):
    """Guards against passing on a call whose body will never be whole."""
    client = server.send(
        b"GET /1 HTTP/1.1\r\n\r\n"
        b"POST /2 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"65\r\n" + b"x" * 101 + b"\r\n" + rest
    )
    server.calls[0].answer(200, [], b"")
    server.network.run(0.005)
    assert [call.head.target for call in server.calls] == [b"/1"]
    assert client.statuses[0] == 200
    assert client.statuses[1] in (400, 413)
    assert _parse_error_body(client)["answer"] == "not-run"
    assert client.is_closed


def test_body_paused_in_its_last_read_leaves_the_connection_readable(server):
    """Guards against a kept connection that is never read again."""

    class Sink:
        def body_part(self, part):
            server.calls[0].pause_body()

        def body_complete(self):
            pass

    client = server.send(
        b"POST /1 HTTP/1.1\r\ncontent-length: 300\r\n\r\n" + b"x" * 150
    )
    server.calls[0].stream_body_to(Sink())
    server.calls[0].resume_body()
    client.send(b"x" * 150)
    server.network.run(0.005)
    assert server.calls[0].is_body_complete
    server.calls[0].answer(200, [], b"")
    client.send(b"GET /2 HTTP/1.1\r\n\r\n")
    server.network.run(0.005)
    assert [call.head.target for call in server.calls] == [b"/1", b"/2"]


def test_request_to_upgrade_is_answered_like_any_other(server):
    """Guards against a second answer behind that of the call."""
    upgrade = b"connection: upgrade\r\nupgrade: h2c\r\n\r\n"
    client = server.send(
        b"GET /1 HTTP/1.1\r\n" + upgrade + b"GET /2 HTTP/1.1\r\n\r\n"
    )
    server.calls[0].answer(200, [], b"one")
    server.calls[1].answer(200, [], b"two")
    server.network.run(0.005)
    assert [call.head.target for call in server.calls] == [b"/1", b"/2"]
    assert client.statuses == [200, 200]
    assert not client.is_closed


def test_trailers_of_a_body_are_not_headers_of_the_call(server):
    """Guards against a trailer that passes for the id of the request."""
    server.send(
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"1\r\na\r\n0\r\nrequest-id: x\r\n\r\n"
    )
    assert server.calls[0].buffered_body() == b"a"
    assert server.calls[0].head.headers == [(b"transfer-encoding", b"chunked")]


def test_trailers_over_the_limit_are_rejected(server):
    client = server.send(
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"1\r\na\r\n0\r\n" + b"a: b\r\n" * 11 + b"\r\n"
    )
    assert client.statuses == [431]
    assert server.calls == []


def test_announced_close_holds_though_the_body_ends_before_the_answer(server):
    """Guards against running calls behind `Connection: close`."""
    client = server.send(
        b"POST /1 HTTP/1.1\r\ncontent-length: 200\r\n\r\n" + b"x" * 150
    )
    head = answer_head.AnswerHead(200, [], body_mode.BodyMode.SIZED, 2)
    server.calls[0].start_answer(head)
    client.send(b"x" * 50 + b"GET /2 HTTP/1.1\r\n\r\n")
    server.network.run(0.005)
    server.calls[0].send_body(b"ok")
    server.calls[0].finish()
    server.network.run(0.005)
    assert b"connection: close" in client.received
    assert [call.head.target for call in server.calls] == [b"/1"]
    assert client.is_closed


@pytest.mark.parametrize("waiting", [b"", b"GET /2 HTTP/1.1\r\n\r\n"])
def test_slow_head_does_not_cut_off_the_answers_before_it(server, waiting):
    """Guards against a header timeout that runs while reading is paused."""
    client = server.send(
        b"GET /1 HTTP/1.1\r\n\r\n" + waiting + b"GET /3 HTTP/1.1\r\na: "
    )
    for now_s in range(10):
        server.factory.sweep(now_s, idle_s=15.0, head_timeout_s=3.0)
    server.network.run(0.005)
    assert not client.is_closed
    server.calls[0].answer(200, [], b"")
    server.network.run(0.005)
    assert client.statuses == [200]


def test_slow_head_closes_the_connection_when_nothing_is_answered(server):
    client = server.send(b"GET /1 HTTP/1.1\r\na: ")
    for now_s in range(5):
        server.factory.sweep(now_s, idle_s=15.0, head_timeout_s=3.0)
    server.network.run(0.005)
    assert client.is_closed


def _start_unframed_answer(server):
    client = server.send(b"GET / HTTP/1.0\r\n\r\n")
    head = answer_head.AnswerHead(200, [], body_mode.BodyMode.CHUNKED, 0)
    server.calls[0].start_answer(head)
    server.calls[0].send_body(b"part")
    server.network.run(0.005)
    assert client.received.endswith(b"\r\n\r\npart")
    return client


def test_unframed_answer_that_is_whole_ends_in_an_orderly_way(server):
    client = _start_unframed_answer(server)
    server.calls[0].finish()
    server.network.run(0.005)
    assert client.is_closed
    assert not client.is_reset


@pytest.mark.parametrize("is_shutdown", [False, True])
def test_unframed_answer_that_is_cut_ends_in_a_reset(server, is_shutdown):
    """Guards against a cut answer to HTTP/1.0 that looks complete."""
    client = _start_unframed_answer(server)
    if is_shutdown:
        server.factory.close_connections()
    else:
        server.calls[0].abort()
    server.network.run(0.005)
    assert client.is_reset


@profiles.DETERMINISTIC
@hypothesis.given(
    data=strategies.lists(
        strategies.one_of(
            strategies.binary(max_size=60),
            strategies.sampled_from(
                [
                    b"GET / HTTP/1.1\r\n",
                    b"POST /a HTTP/1.1\r\n",
                    b"content-length: 5\r\n",
                    b"transfer-encoding: chunked\r\n",
                    b"connection: close\r\n",
                    b"upgrade: x\r\nconnection: upgrade\r\n",
                    b"\r\n",
                    b"5\r\nhello\r\n",
                    b"0\r\n\r\n",
                    b"\xff" * 5,
                ]
            ),
        ),
        max_size=12,
    )
)
def test_any_bytes_on_one_connection_leave_another_usable(data):
    server = Server()
    other = server.connect()
    client = server.connect()
    for part in data:
        client.send(part)
        server.network.run(0.002)
    for call in list(server.calls):
        call.answer(200, [], b"")
    server.network.run(0.002)
    count = len(server.calls)
    other.send(b"GET /other HTTP/1.1\r\n\r\n")
    server.network.run(0.002)
    assert server.calls[count].head.target == b"/other"
    server.calls[count].answer(200, [], b"fine")
    server.network.run(0.002)
    assert other.received.endswith(b"fine")
