"""Requests whose id was sent before: which connections they are lent.

Guards against a late answer to an earlier sending, and against one client that
takes up connections and memory.
"""

import tracemalloc

from cranberrymux.node.http import answer_matcher
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import request_identity
from tests.fakes import memory_network
from tests.fakes import raw_backend
from tests.node import test_answer_framing as framing
from tests.node import test_connection_reuse as reuse


def _send(pool, request_id):
    sink = reuse.Sink()
    identity = request_identity.RequestIdentity(b"request-id", request_id)
    data = b"GET / HTTP/1.1\r\nrequest-id: %b\r\n\r\n" % request_id

    def send(connection):
        connection.send_request(data, True, False, sink, identity)

    pool.take(reuse.ADDRESS, send, reuse.fail, identity)
    return sink


def _answer(request):
    head = b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\ncontent-length: 0\r\n\r\n"
    request.connection.send(head % request.request_id.encode())


def test_connection_that_comes_back_is_not_lent_for_a_request_it_had():
    """Guards against a late answer to an earlier sending of one request."""
    network = memory_network.MemoryNetwork()
    pool = connection_pool.ConnectionPool(network)
    backend = raw_backend.RawBackend(network, 1, _answer)
    _send(pool, b"r1")
    network.run(0.01)
    backend.on_request = None
    _send(pool, b"r2")
    network.connect_delays_s[1] = 0.05
    repeated = _send(pool, b"r1")
    network.run(0.01)
    _answer(backend.requests[-1])
    backend.on_request = _answer
    network.run(0.1)
    assert repeated.ends == ["complete"]
    ids = [connection.request_ids for connection in backend.connections]
    assert ids == [["r1", "r2"], ["r1"]]


def test_long_ids_are_not_held_by_connections():
    """Guards against clients that fill the memory with long ids."""
    reader = framing.Reader()
    reader.read(framing.WHOLE["sized"])
    length = 30_000
    answer = b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\ncontent-length: 0\r\n\r\n"
    tracemalloc.start()
    for number in range(100):
        request_id = b"%d" % number + b"x" * length
        reader.connection.send_request(
            b"GET / HTTP/1.1\r\n\r\n",
            True,
            False,
            reader.sink,
            request_identity.RequestIdentity(b"request-id", request_id),
        )
        reader.read(answer % request_id)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert reader.sink.ends == ["complete"] * 101
    assert held_bytes < 10 * length


def test_remembers_the_last_64_ids_and_a_bounded_number():
    matcher = answer_matcher.AnswerMatcher()
    identities = [
        request_identity.RequestIdentity(b"request-id", b"r%d" % number)
        for number in range(1000)
    ]
    for number, identity in enumerate(identities):
        assert not matcher.has_sent(identity)
        matcher.expect(identity)
        last = identities[max(number - 63, 0) : number + 1]
        assert all(matcher.has_sent(each) for each in last)
    assert sum(matcher.has_sent(each) for each in identities) <= 128
