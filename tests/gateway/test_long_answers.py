"""Answers that are passed on before their end, as they are too long to hold.

Guards against a long answer that skips the checks which short ones pass, that
looks complete though its end is missing, or that holds its client for ever.
"""

import pytest

from cranberrymux.decisions.routes import route
from cranberrymux.gateway import ports
from cranberrymux.node import attempt
from cranberrymux.node.http import client_connection
from tests.fakes import raw_backend
from tests.gateway import mesh as mesh_module
from tests.gateway import test_second_answers

STAMP = ("server-stamp", "proof")
NOT_RUN = ("not-run", "1")
BODY = b"0123456789abcdef" * (attempt.HELD_ANSWER_BYTES // 16 + 4096)
PART_BYTES = 20_000
ROUTE_TIMEOUT_S = 1.0
# Latest end of an answer, in seconds after the timeout of its route.
LATEST_END_S = 0.25


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep")
    made.configure(
        mesh_module.make_route("read", "deep", timeout_s=ROUTE_TIMEOUT_S),
        mesh_module.make_route(
            "write",
            "deep",
            repeatability=route.Repeatability.ONCE,
            timeout_s=ROUTE_TIMEOUT_S,
        ),
    )
    return made


@pytest.fixture
def backend(mesh):
    return raw_backend.RawBackend(mesh.network, mesh.members[1].backend_port)


def encode_head(*headers, status="200 OK", request_id="r1"):
    lines = [f"HTTP/1.1 {status}", f"request-id: {request_id}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def encode(*headers, status="200 OK", request_id="r1", body=BODY):
    length = ("content-length", str(len(body)))
    head = encode_head(*headers, length, status=status, request_id=request_id)
    return head + body


def encode_chunks(body):
    parts = [
        body[begin : begin + PART_BYTES]
        for begin in range(0, len(body), PART_BYTES)
    ]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


def send_in_parts(mesh, connection, data):
    """Sends bytes that arrive in many reads."""
    for begin in range(0, len(data), PART_BYTES):
        connection.send(data[begin : begin + PART_BYTES])
        mesh.network.run(0.001)


def ask(mesh, path="/write/x", request_id="r1", **changes):
    return mesh.ask(0, path, headers=[("Request-Id", request_id)], **changes)


def answer_each(mesh, *headers, **changes):
    """Has the last backend server answer all requests alike, at length."""

    def answer(request):
        data = encode(*headers, request_id=request.request_id, **changes)
        request.connection.send(data)

    port = mesh.members[-1].backend_port
    return raw_backend.RawBackend(mesh.network, port, answer)


def find_header(client, name):
    head = client.received.partition(b"\r\n\r\n")[0]
    for line in head.split(b"\r\n")[1:]:
        if line.lower().startswith(name + b": "):
            return line.partition(b": ")[2]
    return None


def decode_body(client):
    """Returns the body, and whether its framing says that it is whole."""
    data = client.received.partition(b"\r\n\r\n")[2]
    if find_header(client, b"transfer-encoding") is None:
        return data, len(data) == int(find_header(client, b"content-length"))
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            assert data == b"\r\n"
            return body, True
        body += data[:length]
        data = data[length + 2 :]
    return body, False


def check_is_whole(client):
    assert client.statuses == [200]
    assert decode_body(client) == (BODY, True)


def check_is_cut(client):
    """Checks that a client sees that its answer is not whole."""
    assert client.statuses == [200]
    body, is_whole = decode_body(client)
    assert BODY.startswith(body)
    assert not is_whole
    assert client.is_reset


def count_outcomes(mesh):
    """Returns how often requests ended at the first node, by outcome."""
    text = mesh.members[0].gateway._parts.metrics.encode().decode()
    counts = {}
    for line in text.splitlines():
        if line.startswith("cranberrymux_requests_total"):
            outcome = line.partition('outcome="')[2].partition('"')[0]
            counts[outcome] = float(line.split()[-1])
    return counts


def find_view(mesh, endpoint_id="n-1"):
    return mesh.members[0].gateway._parts.endpoints.find(endpoint_id)


class TestChecks:
    """A long answer passes the checks of a short one."""

    @pytest.mark.parametrize(
        "headers",
        [(), (STAMP, ("content-encoding", "gzip"))],
        ids=["no-proof", "content-coding"],
    )
    def test_success_that_is_not_proven_is_not_passed_on(self, mesh, headers):
        answer_each(mesh, *headers)
        client = ask(mesh)
        assert client.statuses == [502]
        assert BODY[:16] not in client.received

    @pytest.mark.parametrize("body", [b"0123", BODY], ids=["short", "long"])
    def test_success_with_a_transfer_coding_is_not_passed_on(
        self, mesh, backend, body
    ):
        client = ask(mesh)
        head = encode_head(STAMP, ("transfer-encoding", "gzip, chunked"))
        data = head + encode_chunks(body) + b"0\r\n\r\n"
        backend.connections[0].send(data)
        mesh.network.run(0.1)
        assert client.statuses == [502]
        assert BODY[:4] not in client.received

    @pytest.mark.parametrize("path", ["/read/x", "/write/x"])
    @pytest.mark.parametrize(
        ("status", "header"),
        [
            ("421 Misdirected Request", STAMP),
            ("503 Full", NOT_RUN),
            ("429 Full", NOT_RUN),
        ],
    )
    def test_refusal_is_answered_as_not_run(self, mesh, path, status, header):
        answer_each(mesh, header, status=status)
        client = ask(mesh, path)
        assert client.statuses == [503]
        assert find_header(client, b"retry-after") is not None
        assert BODY[:16] not in client.received

    def test_refused_request_is_sent_to_another_endpoint(self):
        mesh = mesh_module.Mesh("front", "deep", "deep")
        mesh.configure(
            mesh_module.make_route(
                "write", "deep", repeatability=route.Repeatability.ONCE
            )
        )
        backend = answer_each(mesh, STAMP, status="421 Misdirected Request")
        for number in range(10):
            client = ask(mesh, request_id=f"q{number}")
            assert client.statuses == [200]
        assert backend.requests

    def test_refusal_says_nothing_of_the_health(self, mesh):
        answer_each(mesh, NOT_RUN, status="503 Full")
        ask(mesh)
        assert find_view(mesh).failure_rate(mesh.network.seconds()) == 0.0

    def test_failure_that_may_not_be_repeated_is_passed_on_whole(self, mesh):
        answer_each(mesh, STAMP, status="500 Broken")
        client = ask(mesh)
        assert client.statuses == [500]
        assert find_header(client, b"server-stamp") == b"proof"
        assert decode_body(client) == (BODY, True)

    def test_failure_counts_as_one(self, mesh):
        answer_each(mesh, STAMP, status="500 Broken")
        for number in range(10):
            ask(mesh, request_id=f"q{number}", wait=0.02)
        assert count_outcomes(mesh) == {"5xx": 10.0}
        view = find_view(mesh)
        now_s = mesh.network.seconds()
        assert view._observed_failure_rate.at(now_s) > 0.3
        assert view._reported_failure_rate.at(now_s) > 0.3

    def test_success_counts_as_one(self, mesh, backend):
        for number in range(10):
            ask(mesh, request_id=f"f{number}", wait=0.01)
            request = backend.requests[-1]
            failure = encode(
                STAMP,
                status="500 Broken",
                request_id=request.request_id,
                body=b"failed",
            )
            request.connection.send(failure)
            mesh.network.run(0.01)
        now_s = mesh.network.seconds()
        before = mesh.members[1].gateway._exit.work.health.failure_rate
        for number in range(10):
            client = ask(mesh, request_id=f"s{number}", wait=0.01)
            request = backend.requests[-1]
            request.connection.send(
                encode(STAMP, request_id=request.request_id)
            )
            mesh.network.run(0.01)
            check_is_whole(client)
        assert mesh.network.seconds() < now_s + 1.0
        after = mesh.members[1].gateway._exit.work.health.failure_rate
        assert after < 0.6 * before
        assert count_outcomes(mesh) == {"5xx": 10.0, "2xx": 10.0}

    def test_failed_idempotent_request_is_sent_to_another_endpoint(self):
        mesh = mesh_module.Mesh("front", "deep", "deep")
        mesh.configure(mesh_module.make_route("read", "deep", attempts=2))
        backend = answer_each(mesh, STAMP, status="500 Broken")
        for number in range(10):
            client = ask(mesh, "/read/x", request_id=f"q{number}")
            assert client.statuses == [200]
        assert backend.requests

    def test_failed_request_that_was_run_is_never_answered_as_not_run(self):
        mesh = mesh_module.Mesh("front", "deep", "deep")
        mesh.configure(mesh_module.make_route("read", "deep", attempts=2))
        backend = answer_each(mesh, STAMP, status="500 Broken")

        def refuse(call):
            mesh_module.answer_with_id(call, 503, [(b"not-run", b"1")])

        mesh.members[1].backend.answer = refuse
        clients = {}
        for number in range(10):
            request_id = f"q{number}"
            clients[request_id] = ask(mesh, "/read/x", request_id=request_id)
        assert backend.requests
        for request in backend.requests:
            assert clients[request.request_id].statuses in ([500], [502])


class TestEarlyEnd:
    """A long answer that breaks off does not look complete."""

    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("framing", ["sized", "chunked"])
    def test_cut_answer_is_seen_to_be_cut(
        self, mesh, backend, framing, is_reset
    ):
        client = ask(mesh)
        (connection,) = backend.connections
        data = encode(STAMP)
        if framing == "chunked":
            head = encode_head(STAMP, ("transfer-encoding", "chunked"))
            data = head + encode_chunks(BODY) + b"0\r\n\r\n"
        send_in_parts(mesh, connection, data[:-3])
        connection.reset() if is_reset else connection.close()
        mesh.network.run(0.1)
        check_is_cut(client)
        assert count_outcomes(mesh) == {"truncated": 1.0}

    def test_answer_without_a_length_ends_with_its_connection(
        self, mesh, backend
    ):
        client = ask(mesh)
        (connection,) = backend.connections
        send_in_parts(mesh, connection, encode_head(STAMP) + BODY)
        connection.close()
        mesh.network.run(0.1)
        check_is_whole(client)
        assert not client.is_closed

    def test_answer_without_a_length_that_is_reset_is_cut(self, mesh, backend):
        client = ask(mesh)
        (connection,) = backend.connections
        send_in_parts(mesh, connection, encode_head(STAMP) + BODY)
        connection.reset()
        mesh.network.run(0.1)
        check_is_cut(client)

    @pytest.mark.parametrize("is_whole", [False, True])
    def test_http_1_0_client_sees_by_a_reset_that_it_is_cut(
        self, mesh, backend, is_whole
    ):
        client = mesh.connect(0)
        request = mesh_module.encode("/write/x")
        client.send(request.replace(b"HTTP/1.1", b"HTTP/1.0"))
        mesh.network.run(0.1)
        (connection,) = backend.connections
        head = encode_head(STAMP, ("transfer-encoding", "chunked"))
        send_in_parts(mesh, connection, head + encode_chunks(BODY))
        if is_whole:
            connection.send(b"0\r\n\r\n")
        else:
            connection.close()
        mesh.network.run(0.1)
        assert find_header(client, b"transfer-encoding") is None
        assert client.received.partition(b"\r\n\r\n")[2] == BODY
        assert client.is_closed
        assert client.is_reset is not is_whole

    def test_head_of_a_long_answer_has_no_body(self, mesh, backend):
        client = ask(mesh, "/read/x", method="HEAD")
        backend.connections[0].send(
            encode_head(STAMP, ("content-length", str(len(BODY))))
        )
        mesh.network.run(0.1)
        assert client.statuses == [200]
        assert client.received.endswith(b"\r\n\r\n")


class TestEndInTime:
    """A long answer holds neither its client nor its endpoint for ever."""

    def test_slow_client_gets_it_whole(self, mesh, backend):
        client = ask(mesh)
        (connection,) = backend.connections
        send_in_parts(mesh, connection, encode(STAMP)[: -2 * PART_BYTES])
        sending = client.transport.peer.producer
        sending.pauseProducing()
        send_in_parts(mesh, connection, encode(STAMP)[-2 * PART_BYTES :])
        mesh.network.run(0.2)
        assert not decode_body(client)[1]
        sending.resumeProducing()
        mesh.network.run(0.1)
        check_is_whole(client)

    def test_client_that_reads_no_more_does_not_hold_it(self, mesh, backend):
        client = ask(mesh)
        (connection,) = backend.connections
        send_in_parts(mesh, connection, encode(STAMP)[: -2 * PART_BYTES])
        client.transport.peer.producer.pauseProducing()
        send_in_parts(mesh, connection, encode(STAMP)[-2 * PART_BYTES :])
        mesh.network.run(ROUTE_TIMEOUT_S + LATEST_END_S)
        check_is_cut(client)
        assert mesh.members[0].gateway._parts.open_entry_calls == 0

    def test_client_that_leaves_ends_the_work(self, mesh, backend):
        client = ask(mesh)
        (connection,) = backend.connections
        send_in_parts(mesh, connection, encode(STAMP)[:-PART_BYTES])
        client.transport.loseConnection()
        mesh.network.run(0.1)
        assert connection.is_closed
        assert count_outcomes(mesh) == {"cancelled": 1.0}

    def test_endpoint_that_stalls_ends_it_at_the_timeout(self, mesh, backend):
        began_s = mesh.network.seconds()
        client = ask(mesh)
        (connection,) = backend.connections
        send_in_parts(mesh, connection, encode(STAMP)[:-PART_BYTES])
        mesh.network.run(began_s + ROUTE_TIMEOUT_S - mesh.network.seconds())
        assert not client.is_closed
        mesh.network.run(LATEST_END_S)
        check_is_cut(client)
        assert connection.is_closed

    def test_node_that_falls_silent_ends_it_at_the_timeout(self, mesh, backend):
        """Guards against a client that waits for ever for a silent node."""
        began_s = mesh.network.seconds()
        client = ask(mesh)
        (connection,) = backend.connections
        send_in_parts(mesh, connection, encode(STAMP)[:-PART_BYTES])
        port = mesh.members[1].entry_port + 1
        for transport in mesh.network.transports:
            if transport.port == port:
                transport.receive = lambda data: None
                transport.report_lost = lambda reason: None
        mesh.network.run(began_s + ROUTE_TIMEOUT_S - mesh.network.seconds())
        assert not client.is_closed
        mesh.network.run(LATEST_END_S)
        check_is_cut(client)
        assert mesh.members[0].gateway._parts.open_entry_calls == 0

    def test_answer_that_ended_in_time_leaves_its_connection_open(
        self, mesh, backend
    ):
        client = ask(mesh)
        backend.connections[0].send(encode(STAMP))
        mesh.network.run(ROUTE_TIMEOUT_S + LATEST_END_S)
        check_is_whole(client)
        assert not client.is_closed


def fill_at_each_write(transport):
    """Has each write fill the send buffer, as to a slow receiver."""
    write_at_once = transport.write

    def write(data):
        write_at_once(data)
        transport.producer.pauseProducing()

    transport.write = write


def find_hop_sender(mesh):
    """Returns the sending end of the only connection between the nodes."""
    port = mesh.members[1].entry_port + 1
    (sender,) = (
        transport
        for transport in mesh.network.transports
        if transport.port == port
        and isinstance(transport.producer, client_connection.ClientConnection)
    )
    return sender


class TestBackpressure:
    """A slow receiver leaves no connection behind that is not read."""

    def test_connection_is_read_after_a_slow_client(self, mesh, backend):
        """Guards against a kept connection on which answers are not read."""
        slow = ask(mesh)
        (connection,) = backend.connections
        data = encode(STAMP)
        send_in_parts(mesh, connection, data[:-PART_BYTES])
        fill_at_each_write(slow.transport.peer)
        connection.send(data[-PART_BYTES:])
        mesh.network.run(0.1)
        slow.transport.peer.producer.resumeProducing()
        check_is_whole(slow)
        backend.on_request = test_second_answers.answer
        for number in range(3):
            request_id = f"q{number}"
            client = ask(mesh, request_id=request_id, wait=0.5)
            test_second_answers.check_is_served(client, request_id)

    def test_client_connection_is_read_after_a_slow_upload(self, mesh):
        """Guards against a kept connection on which requests are not read."""
        server = mesh.members[1].backend
        server.answer = None
        client = mesh.connect(0)
        body = b"x" * (ports.BUFFERED_BODY_BYTES + 3 * PART_BYTES)
        request = mesh_module.encode("/write/x", method="POST", body=body)
        client.send(request[:-PART_BYTES])
        mesh.network.run(0.05)
        sender = find_hop_sender(mesh)
        fill_at_each_write(sender)
        client.send(request[-PART_BYTES:])
        mesh.network.run(0.05)
        sender.producer.resumeProducing()
        (call,) = server.calls
        assert call.is_body_complete
        mesh_module.answer_with_proof(call)
        mesh.network.run(0.05)
        assert client.statuses == [200]
        server.answer = mesh_module.answer_with_proof
        headers = [("Request-Id", "r2")]
        client.send(mesh_module.encode("/write/x", headers=headers))
        mesh.network.run(0.1)
        assert client.statuses == [200, 200]


@pytest.mark.parametrize("second", test_second_answers.SECOND_ANSWERS)
@pytest.mark.parametrize("is_one_read", [False, True])
def test_second_answer_behind_a_long_one_is_discarded(
    mesh, backend, second, is_one_read
):
    client = ask(mesh)
    data = test_second_answers.SECOND_ANSWERS[second]
    (connection,) = backend.connections
    send_in_parts(mesh, connection, encode(STAMP)[:-PART_BYTES])
    end = encode(STAMP)[-PART_BYTES:]
    if is_one_read:
        connection.send(end + data)
    else:
        connection.send(end)
        connection.send(data)
    mesh.network.run(0.1)
    check_is_whole(client)
    backend.on_request = test_second_answers.answer
    next_client = ask(mesh, request_id="r2")
    test_second_answers.check_is_served(next_client, "r2")
