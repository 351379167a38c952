"""Nodes and backend servers that answer twice, the second time late or cut.

Guards against a caller that gets an answer which is another call's or not
whole. Each test has the second answer come at another moment in the life of
the connection on which it comes.
"""

import json

import pytest

from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory
from tests.fakes import backend as backend_module
from tests.fakes import cluster as clusters
from tests.fakes import raw_backend

CORRELATION_ID = "cranberrymux-correlation-id"
REQUEST_ID = "cranberrymux-request-id"
BUFFERED_BYTES = 1024


def encode(body, *, headers=(), status="200 OK", length=None):
    lines = [f"HTTP/1.1 {status}", "cranberrymux-answer: done"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"content-length: {len(body) if length is None else length}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def whole_body(request):
    return b"whole answer to " + request.request_id.encode()


def ids_of(request):
    """Returns the headers that tell a request's answer from others."""
    return [
        (name, request.headers[name])
        for name in (CORRELATION_ID, REQUEST_ID)
        if name in request.headers
    ]


def encode_answer(request):
    return encode(whole_body(request), headers=ids_of(request))


def answer(request):
    """Sends the answer that belongs to a request."""
    request.connection.send(encode_answer(request))


def answer_without_id(request):
    request.connection.send(encode(whole_body(request)))


# What may come behind the answer to a request.
SECOND_ANSWERS = {
    "the-same-again": encode_answer,
    "the-same-id-and-another-body": lambda request: encode(
        b"ok", headers=ids_of(request)
    ),
    "no-id": lambda request: encode(b"ok"),
    "id-of-no-request": lambda request: encode(
        b"ok", headers=[(CORRELATION_ID, "no"), (REQUEST_ID, "r-0")]
    ),
    "a-long-one": lambda request: encode(
        b"x" * 2 * BUFFERED_BYTES, headers=ids_of(request)
    ),
    "a-long-one-without-id": lambda request: encode(b"x" * 2 * BUFFERED_BYTES),
    "no-length": lambda request: b"HTTP/1.1 200 OK\r\n\r\nok",
    "length-that-is-no-number": (
        lambda request: b"HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok"
    ),
    "part-of-a-head": lambda request: b"HTTP/1.1 200 OK\r\ncranberrymux-an",
    "no-answer": lambda request: b"\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n",
}
# Those that a reader can tell from the next answer and skip.
SKIPPED = (
    "the-same-again",
    "the-same-id-and-another-body",
    "no-id",
    "id-of-no-request",
    "a-long-one",
    "a-long-one-without-id",
)


class Way:
    """A way of calls to a receiver that writes raw bytes.

    Attributes:
        cluster: The nodes.
        receiver: What answers the calls.
        receiver_port: Its port.
    """

    def __init__(self, cluster, receiver_port, ask_port, head):
        self.cluster = cluster
        self.receiver_port = receiver_port
        self.receiver = raw_backend.RawBackend(cluster.network, receiver_port)
        self._ask_port = ask_port
        self._head = head

    def ask(self, request_id, seconds=0.05, extra=""):
        client = self.connect()
        self.send(client, request_id, seconds, extra)
        return client

    def connect(self):
        return self.cluster.connect(self._ask_port)

    def send(self, client, request_id, seconds=0.05, extra="", method="GET"):
        request = f"{self._head}{REQUEST_ID}: {request_id}\r\n{extra}\r\n"
        client.send(request.replace("GET", method).encode())
        self.run(seconds)

    def ask_without_connection(self, request_id):
        """Asks while no connection is idle and a new one takes long to open."""
        network = self.cluster.network
        network.connect_delays_s[self.receiver_port] = 0.05
        client = self.ask(request_id, seconds=0.01)
        assert len(self.receiver.connections) == 1
        return client

    def run(self, seconds):
        self.cluster.network.run(seconds)


def to_other_node():
    """Returns the way of calls to a node that another process stands for."""
    cluster = clusters.Cluster()
    caller = cluster.add(
        "caller-0",
        "caller",
        calls=["leaf"],
        extra=f"buffered_body_bytes: {BUFFERED_BYTES}\n",
    )
    leaf = cluster.add("leaf-0", "leaf")
    cluster.network.run(0.5)
    head = "GET /x HTTP/1.1\r\nhost: a\r\ncranberrymux-service: leaf\r\n"
    return Way(cluster, leaf.ingress_port, caller.egress_port, head)


def to_backend_server():
    """Returns the way of calls from a client to a backend server."""
    cluster = clusters.Cluster()
    leaf = cluster.add(
        "leaf-0", "leaf", extra=f"buffered_body_bytes: {BUFFERED_BYTES}\n"
    )
    return Way(
        cluster,
        leaf.backend.port,
        leaf.ingress_port,
        "GET /x HTTP/1.1\r\nhost: a\r\n",
    )


@pytest.fixture(params=[to_other_node, to_backend_server])
def way(request):
    return request.param()


def check_is_served(client, request_id):
    """Checks that a client got the one answer that belongs to its request."""
    assert client.statuses == [200]
    body = b"\r\n\r\nwhole answer to " + request_id.encode()
    assert client.received.endswith(body)
    assert f"{REQUEST_ID}: {request_id}\r\n".encode() in client.received


def check_is_served_or_failed(client, request_id):
    """Checks that a client got its own answer, or an answer of a node."""
    if client.statuses == [200]:
        check_is_served(client, request_id)
    else:
        body = json.loads(client.received.rpartition(b"\r\n\r\n")[2])
        assert body["answer"] in ("not-run", "unknown")
        assert body["request_id"] == request_id


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_second_answer_on_an_idle_connection_is_discarded(way, second):
    way.receiver.on_request = answer
    check_is_served(way.ask("r-1"), "r-1")
    (connection,) = way.receiver.connections
    connection.send(SECOND_ANSWERS[second](way.receiver.requests[0]))
    way.run(0.05)
    assert connection.is_closed
    check_is_served(way.ask("r-2"), "r-2")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_second_answer_in_one_read_is_not_the_waiting_calls(way, second):
    first = way.ask("r-1")
    waiting = way.ask_without_connection("r-2")
    way.receiver.on_request = answer
    (request,) = way.receiver.requests
    request.connection.send(
        encode_answer(request) + SECOND_ANSWERS[second](request)
    )
    way.run(0.2)
    check_is_served(first, "r-1")
    check_is_served(waiting, "r-2")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
@pytest.mark.parametrize("is_cut", [False, True])
def test_second_answer_is_not_the_next_calls(way, second, is_cut):
    """Guards against taking whatever comes after a call was sent."""
    way.receiver.on_request = answer
    check_is_served(way.ask("r-1"), "r-1")
    way.receiver.on_request = None
    client = way.ask("r-2", seconds=0.01)
    (connection,) = way.receiver.connections
    data = SECOND_ANSWERS[second](way.receiver.requests[0])
    if is_cut:
        connection.send(data[:20])
        way.run(0.01)
        data = data[20:]
    connection.send(data)
    way.run(0.01)
    if not connection.is_closed:
        answer(way.receiver.requests[-1])
    way.run(1.0)
    if second in SKIPPED:
        check_is_served(client, "r-2")
    else:
        connection.close()
        way.run(0.5)
        check_is_served_or_failed(client, "r-2")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_second_answer_behind_the_next_one_is_discarded(way, second):
    way.receiver.on_request = answer
    check_is_served(way.ask("r-1"), "r-1")
    way.receiver.on_request = None
    client = way.ask("r-2")
    first, request = way.receiver.requests
    data = encode_answer(request)
    request.connection.send(data[:-5])
    way.run(0.01)
    request.connection.send(data[-5:] + SECOND_ANSWERS[second](first))
    way.receiver.on_request = answer
    way.run(0.05)
    check_is_served(client, "r-2")
    check_is_served(way.ask("r-3"), "r-3")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_second_answer_after_a_cut_one_is_discarded(way, second):
    client = way.ask("r-1")
    (request,) = way.receiver.requests
    request.connection.send(encode_answer(request)[:-5])
    request.connection.close()
    way.run(0.5)
    check_is_served_or_failed(client, "r-1")
    assert client.statuses == [502]
    way.receiver.on_request = answer
    client = way.ask("r-2", seconds=0.0)
    request.connection.send(SECOND_ANSWERS[second](request))
    way.run(0.2)
    check_is_served(client, "r-2")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_answer_after_the_deadline_is_discarded(way, second):
    late = way.ask("r-1", extra="cranberrymux-timeout-ms: 20\r\n")
    assert late.statuses == [504]
    (request,) = way.receiver.requests
    way.receiver.on_request = answer
    client = way.ask("r-2", seconds=0.0)
    answer(request)
    request.connection.send(SECOND_ANSWERS[second](request))
    way.run(0.05)
    check_is_served(client, "r-2")
    assert late.statuses == [504]


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_answer_to_a_client_that_left_is_discarded(way, second):
    gone = way.ask("r-1")
    gone.transport.loseConnection()
    way.run(0.001)
    (request,) = way.receiver.requests
    way.receiver.on_request = answer
    client = way.ask("r-2", seconds=0.0)
    assert not request.connection.is_closed
    answer(request)
    request.connection.send(SECOND_ANSWERS[second](request))
    way.run(0.05)
    check_is_served(client, "r-2")
    assert gone.received == b""


def test_each_of_two_calls_at_a_time_gets_its_own_answer(way):
    clients = [way.ask("r-1"), way.ask("r-2")]
    first, second = way.receiver.requests
    answer(second)
    answer(first)
    way.run(0.05)
    check_is_served(clients[0], "r-1")
    check_is_served(clients[1], "r-2")


def test_long_answer_that_is_cut_is_not_ended(way):
    client = way.ask("r-1")
    (request,) = way.receiver.requests
    data = encode(b"x" * 2 * BUFFERED_BYTES, headers=ids_of(request))
    request.connection.send(data[:-1])
    request.connection.close()
    way.run(0.05)
    assert client.statuses == [200]
    assert client.is_closed
    body = client.received.rpartition(b"\r\n\r\n")[2]
    assert len(body) < 2 * BUFFERED_BYTES


def test_long_answer_to_a_head_request_has_no_body(way):
    """Guards against waiting for a body that an answer to HEAD lacks."""
    client = way.connect()
    way.send(client, "r-1", method="HEAD")
    (request,) = way.receiver.requests
    request.connection.send(
        encode(b"", headers=ids_of(request), length=2 * BUFFERED_BYTES)
    )
    way.run(0.01)
    assert client.statuses == [200]
    assert client.received.endswith(b"\r\n\r\n")
    way.receiver.on_request = answer
    check_is_served(way.ask("r-2"), "r-2")
    # The connection is not used again, as its next answer may have a body.
    assert [
        connection.is_closed for connection in way.receiver.connections
    ] == [True, False]


def test_connection_is_read_again_after_a_slow_clients_answer(way):
    """Guards against a call that waits on a connection which is not read."""
    client = way.connect()
    server_end = client.transport.peer
    write = server_end.write

    def write_and_fill_the_buffer(data):
        write(data)
        if len(data) > BUFFERED_BYTES:
            server_end.producer.pauseProducing()

    server_end.write = write_and_fill_the_buffer
    way.send(client, "r-1")
    (request,) = way.receiver.requests
    body = b"x" * 2 * BUFFERED_BYTES
    request.connection.send(encode(body, headers=ids_of(request)))
    way.run(0.01)
    assert client.received.endswith(body)
    server_end.producer.resumeProducing()
    way.receiver.on_request = answer
    check_is_served(way.ask("r-2"), "r-2")
    assert len(way.receiver.connections) == 1


def test_answer_of_another_node_without_a_correlation_id_is_not_taken():
    """Guards against an answer to another call of the same request."""
    way = to_other_node()
    way.receiver.on_request = answer
    check_is_served(way.ask("r-0"), "r-0")
    way.receiver.on_request = None
    client = way.ask("r-1")
    _, request = way.receiver.requests
    request.connection.send(encode(b"ok", headers=[(REQUEST_ID, "r-1")]))
    way.run(0.01)
    assert client.received == b""
    answer(request)
    way.run(0.01)
    check_is_served(client, "r-1")


def test_node_of_an_earlier_version_without_correlation_ids_is_served():
    """Guards against a replacement of nodes, one by one, that cuts calls."""
    way = to_other_node()
    way.receiver.on_request = lambda request: request.connection.send(
        encode(whole_body(request), headers=[(REQUEST_ID, request.request_id)])
    )
    for request_id in ("r-1", "r-2"):
        check_is_served(way.ask(request_id), request_id)


def test_answer_to_an_earlier_call_of_the_same_request_is_not_taken(way):
    """Guards against a late answer that bears the id of the request."""
    way.receiver.on_request = answer
    check_is_served(way.ask("r-1"), "r-1")
    way.receiver.on_request = None
    client = way.ask("r-1")
    first, second = way.receiver.requests
    first.connection.send(encode(b"ok", headers=ids_of(first)))
    way.run(0.01)
    answer(second)
    way.run(0.01)
    check_is_served(client, "r-1")


def test_answer_to_an_earlier_attempt_is_not_taken():
    """Guards against the late answer of an endpoint that refused a call."""
    cluster = clusters.Cluster()
    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    receivers = []
    for name in ("leaf-0", "leaf-1"):
        port = cluster.add(name, "leaf").ingress_port
        receivers.append(raw_backend.RawBackend(cluster.network, port))
    cluster.network.run(0.5)
    cluster.ask(caller.ingress_port, b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
    parent = dict(caller.backend.calls[0].head.headers)
    request_id = parent[REQUEST_ID.encode()].decode()
    client = cluster.ask(
        caller.egress_port,
        b"GET /x HTTP/1.1\r\nhost: a\r\ncranberrymux-service: leaf\r\n"
        b"cranberrymux-context: %b\r\n\r\n" % parent[b"cranberrymux-context"],
    )
    receivers.sort(key=lambda receiver: -len(receiver.requests))
    (refused,) = receivers[0].requests
    draining = [*ids_of(refused), ("cranberrymux-reason", "draining")]
    refusal = encode(b"", headers=draining, status="503 Service Unavailable")
    refused.connection.send(refusal.replace(b": done", b": not-run"))
    cluster.network.run(0.01)
    (retry,) = receivers[1].requests
    late = encode(b"ok", headers=ids_of(refused))
    refused.connection.send(late)
    retry.connection.send(late)
    cluster.network.run(0.01)
    answer(retry)
    cluster.network.run(0.01)
    check_is_served(client, request_id)


def test_backend_server_that_sends_no_id_is_served():
    way = to_backend_server()
    way.receiver.on_request = answer_without_id
    check_is_served(way.ask("r-1"), "r-1")
    check_is_served(way.ask("r-2"), "r-2")
    assert len(way.receiver.connections) == 1


def test_backend_server_gets_the_id_that_its_answer_repeats():
    way = to_backend_server()
    way.ask("r-1")
    (request,) = way.receiver.requests
    assert request.headers[REQUEST_ID] == "r-1"
    assert CORRELATION_ID not in request.headers


def test_headers_between_nodes_reach_neither_clients_nor_backend_servers():
    cluster = clusters.Cluster()
    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    leaf = cluster.add("leaf-0", "leaf", backend_module.answer_ok)
    cluster.network.run(0.5)
    client = cluster.ask(
        caller.egress_port,
        b"GET /x HTTP/1.1\r\nhost: a\r\ncranberrymux-service: leaf\r\n\r\n",
    )
    assert client.statuses == [200]
    assert CORRELATION_ID.encode() not in client.received
    names = [name for name, _ in leaf.backend.calls[0].head.headers]
    assert CORRELATION_ID.encode() not in names


def _peer_request(*, key=clusters.KEY, endpoint="leaf-0", extra=""):
    return (
        f"GET /x HTTP/1.1\r\nhost: a\r\n{CORRELATION_ID}: 17\r\n"
        f"cranberrymux-key: {key}\r\ncranberrymux-service: leaf\r\n"
        f"cranberrymux-endpoint: {endpoint}\r\n{extra}\r\n"
    ).encode()


@pytest.mark.parametrize(
    "request_bytes",
    [
        _peer_request(key="wrong"),
        _peer_request(endpoint="leaf-9"),
        _peer_request(),
        _peer_request(extra="cranberrymux-context: 1\r\n"),
        _peer_request(extra="content-length: 2, 3\r\n"),
        _peer_request(extra="expect: cake\r\n"),
        _peer_request(extra="x: y\r\n" * 1000),
        _peer_request().replace(b"/x", b"/cranberrymux/v1/vouch"),
        _peer_request().replace(b"/x", b"/cranberrymux/v1/suspect"),
    ],
    ids=[
        "wrong-key",
        "other-endpoint",
        "no-context",
        "bad-context",
        "bad-length",
        "bad-expectation",
        "too-many-headers",
        "bad-vouch-request",
        "bad-suspect-report",
    ],
)
def test_refusal_to_another_node_repeats_its_correlation_id(request_bytes):
    """Guards against a refusal that the caller's node would discard."""
    cluster = clusters.Cluster()
    leaf = cluster.add("leaf-0", "leaf")
    client = cluster.ask(leaf.ingress_port, request_bytes)
    assert f"\r\n{CORRELATION_ID}: 17\r\n".encode() in client.received
    assert b"\r\ncranberrymux-answer: not-run\r\n" in client.received
    assert leaf.backend.calls == []


@pytest.mark.parametrize(
    ("message_limits", "reason"),
    [
        (limits.Limits(body_bytes=10), "too-large"),
        (limits.Limits(header_bytes=500), "too-large"),
        # The node closes the connection before it has read the id, so that
        # only its vouch tells that the call is not run.
        (limits.Limits(target_bytes=100), None),
    ],
    ids=["body", "headers", "target"],
)
def test_call_that_another_node_rejects_is_not_run(message_limits, reason):
    """Guards against a rejection that leaves the caller without an answer."""
    cluster = clusters.Cluster()
    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    leaf = cluster.add("leaf-0", "leaf")
    cluster.network.run(0.5)
    factory = server_factory.ServerFactory(leaf.node.ingress, message_limits)
    cluster.network.listen(leaf.ingress_port, factory)
    client = cluster.ask(
        caller.egress_port,
        b"POST /" + b"x" * 100 + b" HTTP/1.1\r\nhost: a\r\n"
        b"cranberrymux-service: leaf\r\ny: " + b"y" * 300 + b"\r\n"
        b"content-length: 11\r\n\r\nhello world",
    )
    body = json.loads(client.received.rpartition(b"\r\n\r\n")[2])
    assert body["answer"] == "not-run"
    assert reason in (None, body["reason"])
    assert leaf.backend.calls == []
