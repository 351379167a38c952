"""Backend servers that answer twice, the second time late or at once.

Guards against a caller that gets an answer which is another request's or not
whole. Each test has the second answer come at another moment in the life of
the connection to the backend server.
"""

import pytest

STAMP = "server-stamp: proof"


def encode(request_id, body, *, status="200 OK"):
    """Encodes an answer; without an id if `request_id` is None."""
    lines = [f"HTTP/1.1 {status}", STAMP]
    if request_id is not None:
        lines.append(f"request-id: {request_id}")
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def whole_body(request_id):
    return b"whole answer to " + request_id.encode()


def answer(request):
    """Sends the answer that belongs to a request."""
    request.connection.send(
        encode(request.request_id, whole_body(request.request_id))
    )


# What a backend server may send behind its answer to the request r1.
SECOND_ANSWERS = {
    "the-same-again": encode("r1", whole_body("r1")),
    "the-same-id-and-another-body": encode("r1", b"ok"),
    "no-id": encode(None, b"ok"),
    "id-of-no-request": encode("r0", b"ok"),
    "length-that-is-no-number": (
        b"HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok"
    ),
    "no-length": b"HTTP/1.1 200 OK\r\n" + STAMP.encode() + b"\r\n\r\nok",
    "part-of-a-head": b"HTTP/1.1 200 OK\r\nserver-st",
    "no-answer": b"\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n",
    "empty-lines": b"\r\n\r\n",
    "interim-answer": b"HTTP/1.1 103 Early Hints\r\n\r\n",
}
# Those that a reader can tell from the next answer and skip.
SKIPPED = (
    "the-same-again",
    "the-same-id-and-another-body",
    "no-id",
    "id-of-no-request",
    "empty-lines",
    "interim-answer",
)


def ask(mesh, request_id, path="/write/x", **changes):
    return mesh.ask(0, path, headers=[("Request-Id", request_id)], **changes)


def ask_without_connection(mesh, backend, request_id):
    """Asks while no connection is idle and a new one takes long to open."""
    port = mesh.members[1].backend_port
    mesh.network.connect_delays_s[port] = 0.05
    client = ask(mesh, request_id, wait=0.01)
    assert len(backend.connections) == 1
    return client


def check_is_served(client, request_id):
    """Checks that a client got the one answer that belongs to its request."""
    assert client.statuses == [200]
    assert client.received.endswith(b"\r\n\r\n" + whole_body(request_id))
    assert f"request-id: {request_id}\r\n".encode() in client.received


def check_is_served_or_failed(client, request_id):
    """Checks that a client got its own answer, or a failure."""
    if client.statuses and client.statuses[0] < 300:
        check_is_served(client, request_id)
    else:
        assert client.is_closed or client.statuses == [502]


def finish(mesh, backend, connection):
    """Answers the last request, unless its connection has closed."""
    mesh.network.run(0.01)
    if not connection.is_closed:
        answer(backend.requests[-1])
    mesh.network.run(1.2)


def check_is_skipped(second, client, request_id):
    """Checks a request that was pending when a second answer came."""
    check_is_served_or_failed(client, request_id)
    if second in SKIPPED:
        check_is_served(client, request_id)


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_second_answer_on_an_idle_connection_is_discarded(
    mesh, backend, second
):
    backend.on_request = answer
    check_is_served(ask(mesh, "r1"), "r1")
    backend.connections[0].send(SECOND_ANSWERS[second])
    mesh.network.run(0.1)
    assert backend.connections[0].is_closed
    check_is_served(ask(mesh, "r2"), "r2")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
@pytest.mark.parametrize("cut_at", [0, 5, -5])
def test_second_answer_in_one_read_is_not_the_waiting_requests(
    mesh, backend, second, cut_at
):
    """Guards against handing on a connection with unread bytes on it."""
    first = ask(mesh, "r1")
    waiting = ask_without_connection(mesh, backend, "r2")
    backend.on_request = answer
    data = encode("r1", whole_body("r1"))
    if cut_at:
        # The first answer arrives in two reads, cut in its head or its body.
        backend.connections[0].send(data[:cut_at])
        data = data[cut_at:]
    backend.connections[0].send(data + SECOND_ANSWERS[second])
    mesh.network.run(0.2)
    check_is_served(first, "r1")
    check_is_served(waiting, "r2")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
@pytest.mark.parametrize("is_cut", [False, True])
def test_second_answer_is_not_the_next_requests(mesh, backend, second, is_cut):
    """Guards against an answer without an id that comes late."""
    backend.on_request = answer
    check_is_served(ask(mesh, "r1"), "r1")
    backend.on_request = None
    client = ask(mesh, "r2")
    (connection,) = backend.connections
    data = SECOND_ANSWERS[second]
    if is_cut:
        connection.send(data[:20])
        mesh.network.run(0.01)
        data = data[20:]
    connection.send(data)
    finish(mesh, backend, connection)
    check_is_skipped(second, client, "r2")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_second_answer_behind_the_next_one_is_discarded(mesh, backend, second):
    backend.on_request = answer
    check_is_served(ask(mesh, "r1"), "r1")
    backend.on_request = None
    client = ask(mesh, "r2")
    data = encode("r2", whole_body("r2"))
    backend.connections[0].send(data[:-5])
    mesh.network.run(0.01)
    backend.connections[0].send(data[-5:] + SECOND_ANSWERS[second])
    backend.on_request = answer
    mesh.network.run(0.1)
    check_is_served(client, "r2")
    check_is_served(ask(mesh, "r3"), "r3")


def test_second_answer_to_a_request_that_is_sent_again_is_not_taken(
    mesh, backend
):
    """Guards against a late answer to an earlier sending of one request."""
    client = ask(mesh, "r1")
    (refused,) = backend.requests
    refused.connection.send(encode("r1", b"", status="503 Full\r\nnot-run: 1"))
    mesh.network.run(0.01)
    _, repeat = backend.requests
    refused.connection.send(encode("r1", b"ok"))
    mesh.network.run(0.01)
    answer(repeat)
    mesh.network.run(0.1)
    check_is_served(client, "r1")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_second_answer_after_a_cut_one_is_discarded(mesh, backend, second):
    client = ask(mesh, "r1")
    data = encode("r1", whole_body("r1"))
    backend.connections[0].send(data[:-5])
    backend.connections[0].close()
    mesh.network.run(0.1)
    assert client.statuses == [502]
    client = ask(mesh, "r2")
    # Another one has shown that the backend server has not ended.
    used = [
        connection
        for connection in backend.connections
        if connection.request_ids
    ]
    assert len(used) == 2
    # It comes on the connection that replaces the cut one.
    connection = used[1]
    connection.send(SECOND_ANSWERS[second])
    finish(mesh, backend, connection)
    check_is_skipped(second, client, "r2")


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_answer_after_a_timeout_is_discarded(mesh, backend, second):
    late = ask(mesh, "r1", wait=1.1)
    assert late.statuses == [504]
    backend.on_request = answer
    next_client = ask(mesh, "r2", wait=0.0)
    answer(backend.requests[0])
    backend.connections[0].send(SECOND_ANSWERS[second])
    mesh.network.run(0.2)
    check_is_served(next_client, "r2")
    assert late.statuses == [504]


@pytest.mark.parametrize("second", SECOND_ANSWERS)
def test_answer_to_a_client_that_left_is_discarded(mesh, backend, second):
    gone = ask(mesh, "r1")
    gone.transport.loseConnection()
    backend.on_request = answer
    next_client = ask(mesh, "r2", wait=0.0)
    answer(backend.requests[0])
    backend.connections[0].send(SECOND_ANSWERS[second])
    mesh.network.run(0.2)
    check_is_served(next_client, "r2")
    assert gone.received == b""


def test_answer_to_a_head_request_with_a_body_behind_it_is_not_the_next(
    mesh, backend
):
    head = mesh.ask(0, "/read/x", method="HEAD")
    waiting = ask_without_connection(mesh, backend, "r2")
    backend.on_request = answer
    backend.connections[0].send(encode("r1", b"seen") + SECOND_ANSWERS["no-id"])
    mesh.network.run(0.2)
    assert head.statuses == [200]
    assert head.received.endswith(b"\r\n\r\n")
    check_is_served(waiting, "r2")
