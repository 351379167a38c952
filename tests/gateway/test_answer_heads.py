"""What nodes read from the head of an answer, and what they do not.

Guards against answers that look whole, proven or refused, or are skipped,
though their heads say otherwise.
"""

import pytest

from cranberrymux.decisions.routes import route
from tests.fakes import raw_backend
from tests.gateway import mesh as mesh_module
from tests.gateway import test_second_answers as second


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep")
    made.configure(
        mesh_module.make_route("read", "deep"),
        mesh_module.make_route(
            "write", "deep", repeatability=route.Repeatability.ONCE
        ),
    )
    return made


@pytest.fixture
def backend(mesh):
    return raw_backend.RawBackend(mesh.network, mesh.members[1].backend_port)


def answer_with_trailer(*headers, trailer, body=b"body"):
    lines = ["HTTP/1.1 200 OK", "request-id: r1", *headers]
    lines.append("transfer-encoding: chunked")
    return (
        "\r\n".join(lines).encode()
        + b"\r\n\r\n%x\r\n%b\r\n0\r\n" % (len(body), body)
        + trailer
        + b"\r\n\r\n"
    )


def test_trailer_does_not_say_that_a_request_did_not_run(mesh, backend):
    """Guards against a refusal of a request that has run."""
    client = second.ask(mesh, "r1")
    backend.connections[0].send(
        answer_with_trailer(second.STAMP, trailer=b"Not-Run: 1")
    )
    mesh.network.run(0.1)
    assert client.statuses == [200]


def test_trailer_does_not_prove_an_answer(mesh, backend):
    """Guards against a success whose head lacks the proof."""
    client = second.ask(mesh, "r1")
    backend.connections[0].send(
        answer_with_trailer(trailer=second.STAMP.encode())
    )
    mesh.network.run(0.1)
    assert client.statuses == [502]


def test_trailer_is_no_header_of_the_answer(mesh, backend):
    client = second.ask(mesh, "r1")
    backend.connections[0].send(
        answer_with_trailer(second.STAMP, trailer=b"x-sum: 1")
    )
    mesh.network.run(0.1)
    assert client.statuses == [200]
    assert b"x-sum" not in client.received


def test_cut_answer_whose_length_has_whitespace_behind_it_fails(mesh, backend):
    """Guards against a cut answer that looks whole."""
    client = second.ask(mesh, "r1")
    backend.connections[0].send(
        b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nserver-stamp: proof\r\n"
        b"content-length: 4 \r\n\r\nbo"
    )
    backend.connections[0].close()
    mesh.network.run(0.1)
    assert client.statuses == [502]


def test_id_with_whitespace_behind_it_is_known_without(mesh, backend):
    """Guards against waiting until the deadline beside the right answer."""
    backend.on_request = lambda request: request.connection.send(
        second.encode(request.request_id.strip(), b"body")
    )
    client = mesh.ask(0, "/write/x", headers=[("Request-Id", "r1 ")])
    assert client.statuses == [200]


@pytest.mark.parametrize(
    "line",
    ["Host: records.example ", "Deadline-Ms: 5000 ", "Content-Length: 4 "],
)
def test_whitespace_behind_a_value_is_no_part_of_it(mesh, line):
    """Guards against proper requests that are rejected."""
    name = line.partition(":")[0].lower()
    lines = ["POST /write/x HTTP/1.1", "Request-Id: r1", line]
    for other in (
        f"Host: {mesh_module.HOST}",
        "Deadline-Ms: 5000",
        "Content-Length: 4",
    ):
        if not other.lower().startswith(name + ":"):
            lines.append(other)
    client = mesh.connect(0)
    client.send("\r\n".join(lines).encode() + b"\r\n\r\nbody")
    mesh.network.run(0.2)
    assert client.statuses == [200]
