"""Backend servers that write an earlier refusal once more.

Guards against a client that is told that its request did not run, or whose
request is sent a second time, although the backend server has run it.
"""

import pytest

from tests.gateway import test_second_answers as second

# Requests that are served between a refusal and the second sending.
SERVED_BETWEEN = 200
PROMISES = (408, 421, 429, 503)


def encode_refusal(*, status="503 Full", request_id="r1", is_not_run=True):
    """Encodes a refusal as the backend server wrote it first."""
    lines = [f"HTTP/1.1 {status}"]
    if is_not_run:
        lines.append("not-run: 1")
    if request_id:
        lines.append(f"request-id: {request_id}")
    lines += ["retry-after: 0.5", "content-length: 0"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


REFUSALS = {
    "with-its-id": encode_refusal(),
    "without-an-id": encode_refusal(request_id=""),
    "without-not-run": encode_refusal(is_not_run=False),
    "with-neither": encode_refusal(request_id="", is_not_run=False),
    "too-many": encode_refusal(status="429 Too Many Requests"),
    "misdirected": encode_refusal(status="421 Misdirected Request"),
    "no-id-sent": encode_refusal(status="400 No Id", request_id=""),
}
WHOLE = second.encode("r2", second.whole_body("r2"))


def refuse(request):
    request.connection.send(encode_refusal(request_id=request.request_id))


def refuse_one(mesh, backend):
    """Has one request refused; returns the connection, which is kept."""
    backend.on_request = refuse
    assert second.ask(mesh, "r1").statuses == [503]
    backend.on_request = None
    backend.requests.clear()
    return backend.connections[0]


def check_run_once(mesh, backend, client):
    """Checks that a request that has run is not refused nor sent again."""
    mesh.network.run(1.2)
    assert len(client.statuses) <= 1
    assert not set(client.statuses).intersection(PROMISES)
    assert [request.request_id for request in backend.requests] == ["r2"]
    if client.statuses == [200]:
        second.check_is_served(client, "r2")


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("moment", ["before", "in-one-read", "behind", "idle"])
def test_refusal_written_again_does_not_refuse_the_next_request(
    mesh, backend, refusal, moment
):
    kept = refuse_one(mesh, backend)
    data = REFUSALS[refusal]
    if moment == "idle":
        kept.send(data)
        mesh.network.run(0.01)
    client = second.ask(mesh, "r2", wait=0.01)
    (request,) = backend.requests
    if moment == "before":
        request.connection.send(data)
        mesh.network.run(0.01)
        request.connection.send(WHOLE)
    elif moment == "in-one-read":
        request.connection.send(data + WHOLE)
    elif moment == "behind":
        request.connection.send(WHOLE + data)
    else:
        request.connection.send(WHOLE)
    check_run_once(mesh, backend, client)
    assert client.statuses == [200]


@pytest.mark.parametrize("status", ["200 OK", "500 Broken", "504 Late"])
def test_not_run_beside_a_status_that_refuses_nothing_is_no_refusal(
    mesh, backend, status
):
    """Guards against a refusal of a request that has run and was answered."""
    client = second.ask(mesh, "r2", wait=0.01)
    (request,) = backend.requests
    head = f"{status}\r\nnot-run: 1"
    request.connection.send(second.encode("r2", b"", status=head))
    check_run_once(mesh, backend, client)
    assert client.statuses == [502]


@pytest.mark.parametrize(
    "status", ["408 Late", "429 Too Many Requests", "503 Unavailable"]
)
def test_status_without_not_run_is_no_promise_to_the_client(
    mesh, backend, status
):
    """Guards against a promise that the backend server has not made."""
    client = second.ask(mesh, "r2", wait=0.01)
    (request,) = backend.requests
    request.connection.send(second.encode("r2", b"", status=status))
    check_run_once(mesh, backend, client)
    assert client.statuses == [502]


def test_refused_request_is_not_sent_again_on_its_connection(mesh, backend):
    """Guards against the refusal of an earlier sending of the same request.

    Its id is that of the request, so that only the connection tells.
    """
    refuse_one(mesh, backend)
    backend.on_request = second.answer
    for number in range(SERVED_BETWEEN):
        second.check_is_served(
            second.ask(mesh, f"s{number}", wait=0.01), f"s{number}"
        )
    kept = backend.requests[-1].connection
    assert kept.request_ids[0] == "r1"
    assert len(kept.request_ids) == 1 + SERVED_BETWEEN
    backend.on_request = None
    backend.requests.clear()
    client = second.ask(mesh, "r1", wait=0.01)
    if not kept.is_closed:
        kept.send(REFUSALS["with-its-id"])
    mesh.network.run(0.01)
    (request,) = backend.requests
    second.answer(request)
    mesh.network.run(0.1)
    second.check_is_served(client, "r1")
