"""Function calls that a request costs at the nodes on its path.

Guards against processor time that grows with each change: it is measured in
calls of functions, whose number is the same in every run. Guards also against
requests that leave reference cycles, which the garbage collector pauses the
node to free.
"""

import gc

import pytest

from tests.gateway import call_counter
from tests.gateway import mesh as mesh_module

WARM_UP = 200
COUNTED = 300
# Function calls for each request: at the caller half of those before headers
# had an index, at the endpoint the number that leaves a busy node room.
MAXIMUM_AT_CALLER = 362
MAXIMUM_AT_ENDPOINT = 250
USUAL_HEADERS = [
    ("User-Agent", "records-client/3.1"),
    ("Accept", "application/json"),
    ("Accept-Encoding", "identity"),
    ("Content-Type", "application/json"),
    ("Cache-Control", "no-cache"),
    ("Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
    ("X-Forwarded-For", "10.1.2.3"),
    ("X-Forwarded-Proto", "https"),
    ("Connection", "keep-alive"),
]
ANSWER_HEADERS = [
    mesh_module.PROOF_HEADER,
    (b"content-type", b"application/json"),
    (b"cache-control", b"no-store"),
    (b"date", b"Mon, 05 Jan 2026 10:00:00 GMT"),
]


def answer_as_usual(call):
    mesh_module.answer_with_id(call, 200, ANSWER_HEADERS, b"{}" * 50)


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep")
    made.configure(mesh_module.make_route("read", "deep"))
    made.members[1].backend.answer = answer_as_usual
    return made


def find_node(mesh):
    caller, endpoint = mesh.members
    nodes = {
        (caller.entry_port, True): "caller",
        (caller.entry_port + 11, False): "caller",
        (endpoint.entry_port + 1, True): "endpoint",
        (endpoint.backend_port, False): "endpoint",
    }

    def find(transport):
        is_server = hasattr(transport.protocol, "head_read")
        return nodes.get((transport.port, is_server))

    return find


def send(mesh, client, first, count):
    """Sends requests one after another on the client's connection."""
    for number in range(first, first + count):
        headers = [("Request-Id", f"q{number}"), *USUAL_HEADERS]
        client.send(mesh_module.encode("/read/x", headers=headers))
        mesh.network.run(0.004)


def test_calls_few_functions_for_each_request(mesh):
    client = mesh.connect(0)
    send(mesh, client, 0, WARM_UP)
    with call_counter.CallCounter(find_node(mesh)) as counter:
        send(mesh, client, WARM_UP, COUNTED)
    assert client.statuses == [200] * (WARM_UP + COUNTED)
    at_caller = counter.count("caller") / COUNTED
    at_endpoint = counter.count("endpoint") / COUNTED
    print(f"calls at caller {at_caller:.1f}, at endpoint {at_endpoint:.1f}")
    assert at_caller <= MAXIMUM_AT_CALLER
    assert at_endpoint <= MAXIMUM_AT_ENDPOINT


def test_leaves_nothing_to_the_garbage_collector(mesh):
    client = mesh.connect(0)
    send(mesh, client, 0, WARM_UP)
    gc.collect()
    gc.disable()
    try:
        send(mesh, client, WARM_UP, COUNTED)
        collected = gc.collect()
    finally:
        gc.enable()
    assert client.statuses == [200] * (WARM_UP + COUNTED)
    assert collected < COUNTED
