"""Backend servers that stop within the head of an answer and close.

Guards against a client that gets an empty or short body framed as whole.
"""

import itertools

import pytest

from tests.gateway import conftest
from tests.gateway import test_second_answers as second

PROVEN = "HTTP/1.1 200 OK\r\nrequest-id: r1\r\nserver-stamp: proof\r\n"
BODY = "body"
CHUNKS = "2\r\nbo\r\n2\r\ndy\r\n0\r\n"
# Head, body, and whether the end of the connection ends the answer.
ANSWERS = {
    "sized": (PROVEN + "content-length: 4\r\n", BODY),
    "empty": (
        PROVEN.replace("OK\r\n", "OK\r\ncontent-length: 0\r\n") + "x: y\r\n",
        "",
    ),
    "chunked": (PROVEN + "transfer-encoding: chunked\r\n", CHUNKS + "\r\n"),
    "chunked-first": (
        PROVEN.replace("OK\r\n", "OK\r\ntransfer-encoding: chunked\r\n"),
        CHUNKS + "x-sum: 1\r\n\r\n",
    ),
    "close-delimited": (PROVEN, BODY),
    "no-content": (PROVEN.replace("200 OK", "204 No Content"), ""),
    "not-modified": (PROVEN.replace("200 OK", "304 Not Modified"), ""),
    "interim": (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx: y\r\n"
        "\r\n" + PROVEN + "content-length: 4\r\n",
        BODY,
    ),
}


def end(connection, is_reset):
    connection.reset() if is_reset else connection.close()


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize(
    ("method", "is_reset"), [("GET", False), ("GET", True), ("HEAD", False)]
)
def test_answer_cut_in_its_head_or_body_is_no_success(method, answer, is_reset):
    head, body = ANSWERS[answer]
    if method == "HEAD":
        body = ""
    whole = f"{head}\r\n{body}".encode()
    lengths = range(len(whole))
    if answer == "close-delimited" and not is_reset:
        # Behind the head, an orderly close ends this answer.
        lengths = range(len(head) + 2)
    for length in lengths:
        mesh = conftest.make_mesh()
        backend = conftest.make_backend(mesh)
        client = mesh.ask(0, "/write/x", method=method, wait=0.01)
        (request,) = backend.requests
        request.connection.send(whole[:length])
        end(request.connection, is_reset)
        mesh.network.run(0.2, step_s=0.01)
        assert client.statuses == [502], whole[:length]


@pytest.mark.parametrize("is_reset", [False, True])
def test_hop_answer_cut_at_any_byte_is_no_success(is_reset):
    """The same between the nodes, whose connection ends amid the answer."""
    for length in itertools.count():
        mesh = conftest.make_mesh()
        backend = conftest.make_backend(mesh)
        client = second.ask(mesh, "r1", wait=0.01)
        (request,) = backend.requests
        sent = bytearray()
        port = mesh.members[1].entry_port + 1
        (node,) = (
            transport
            for transport in mesh.network.transports
            if transport.port == port
            and hasattr(transport.protocol, "head_read")
        )
        write = node.write

        def write_some(data, write=write, sent=sent, length=length):
            write(data[: max(length - len(sent), 0)])
            sent.extend(data)

        node.write = write_some
        second.answer(request)
        mesh.network.run(0.01)
        assert sent
        if length >= len(sent):
            second.check_is_served(client, "r1")
            return
        node.abortConnection() if is_reset else node.loseConnection()
        mesh.network.run(0.2, step_s=0.01)
        assert client.statuses == [502], sent[:length]
