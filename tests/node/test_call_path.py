"""Calls through one node and through two, with the faults on their way.

Guards against callers that wait although their call has failed, truncated
answers that are forwarded as complete, backend servers that keep working for
callers that have gone, and nodes that run calls sent without the cluster key or
for another endpoint.
"""

import json

import pytest
from structlog import testing

from cranberrymux.telemetry import event
from cranberrymux.telemetry import null_sink
from tests.fakes import backend
from tests.fakes import cluster as clusters
from tests.fakes import raw_backend

GET = b"GET /x HTTP/1.1\r\nhost: a\r\n"


@pytest.fixture
def cluster():
    return clusters.Cluster()


def _decode_body(client):
    return json.loads(client.received.rpartition(b"\r\n\r\n")[2])


def test_complete_answer_through_one_node(cluster):
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    client = cluster.ask(
        leaf.ingress_port, GET + b"cranberrymux-request-id: r-1\r\n\r\n"
    )
    assert client.statuses == [200]
    assert client.received.endswith(b"whole answer to /x")
    assert b"cranberrymux-answer: done\r\n" in client.received
    assert b"cranberrymux-request-id: r-1\r\n" in client.received


def test_complete_answer_through_two_nodes(cluster):
    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    cluster.add("leaf-0", "leaf", backend.answer_ok)
    cluster.network.run(0.5)
    client = cluster.ask(
        caller.egress_port, GET + b"cranberrymux-service: leaf\r\n\r\n"
    )
    assert client.received.endswith(b"whole answer to /x")


def test_client_that_disconnects_cancels_the_call_at_the_backend_server(
    cluster,
):
    leaf = cluster.add("leaf-0", "leaf")
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert len(leaf.backend.calls) == 1
    client.transport.loseConnection()
    cluster.network.run(0.01)
    assert leaf.backend.cancelled == leaf.backend.calls


def test_cancelled_parent_call_cancels_its_child_calls(cluster):
    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    leaf = cluster.add("leaf-0", "leaf")
    cluster.network.run(0.5)
    client = cluster.ask(caller.ingress_port, GET + b"\r\n")
    parent = caller.backend.calls[0]
    context = dict(parent.head.headers)[b"cranberrymux-context"]
    cluster.ask(
        caller.egress_port,
        GET
        + b"cranberrymux-service: leaf\r\n"
        + b"cranberrymux-context: %b\r\n\r\n" % context,
    )
    assert len(leaf.backend.calls) == 1
    client.transport.loseConnection()
    cluster.network.run(0.01)
    assert leaf.backend.cancelled == leaf.backend.calls


def test_crash_of_the_backend_server_is_answered_at_once_as_unknown(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    leaf.backend.crash()
    cluster.network.run(0.01)
    assert client.statuses == [502]
    body = _decode_body(client)
    assert (body["answer"], body["reason"]) == ("unknown", "connection-lost")
    assert body["retry_after_ms"] > 0


def test_call_without_a_connection_to_the_backend_server_is_not_run(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    leaf.backend.crash()
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    body = _decode_body(client)
    assert (body["answer"], body["reason"]) == ("not-run", "not-started")
    assert leaf.backend.calls == []


def test_deadline_after_the_handover_is_answered_as_unknown(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    client = cluster.ask(
        leaf.ingress_port,
        GET + b"cranberrymux-timeout-ms: 20\r\n\r\n",
        seconds=0.05,
    )
    assert client.statuses == [504]
    assert _decode_body(client)["answer"] == "unknown"
    assert leaf.backend.cancelled == leaf.backend.calls


def test_truncated_answer_is_not_forwarded(cluster):
    def truncate(call):
        call._connection.send(
            b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf"
        )
        call._connection.abort()

    leaf = cluster.add("leaf-0", "leaf", truncate)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert client.statuses == [502]
    assert _decode_body(client)["reason"] == "truncated"
    assert b"half" not in client.received


def test_truncated_streamed_answer_closes_the_connection_before_its_end(
    cluster,
):
    def truncate(call):
        call._connection.send(
            b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n" + b"x" * 9999
        )
        call._connection.abort()

    leaf = cluster.add("leaf-0", "leaf", truncate)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert client.is_closed
    assert b"content-length: 1000000" in client.received
    assert len(client.received) < 1000000


def test_answer_without_length_is_refused_as_truncated(cluster):
    def answer_without_length(call):
        call._connection.send(b"HTTP/1.0 200 OK\r\n\r\nold answer")
        call._connection._owner.close()

    leaf = cluster.add("leaf-0", "leaf", answer_without_length)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert _decode_body(client)["reason"] == "truncated"


def test_call_shed_by_the_backend_server_is_answered_as_not_run(cluster):
    def shed(call):
        call.answer(503, [(b"cranberrymux-answer", b"not-run")], b"")

    leaf = cluster.add("leaf-0", "leaf", shed)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert b"cranberrymux-answer: not-run" in client.received


def test_resend_of_a_running_call_gets_the_same_answer(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    request = GET + b"cranberrymux-request-id: r-1\r\n\r\n"
    first = cluster.ask(leaf.ingress_port, request)
    second = cluster.ask(leaf.ingress_port, request)
    assert len(leaf.backend.calls) == 1
    backend.answer_ok(leaf.backend.calls[0])
    cluster.network.run(0.01)
    assert first.received == second.received != b""


def test_request_id_of_another_principal_is_refused(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    request = GET + b"cranberrymux-request-id: r-1\r\n"
    cluster.ask(leaf.ingress_port, request + b"\r\n")
    other = cluster.ask(
        leaf.ingress_port, request + b"cranberrymux-principal: eve\r\n\r\n"
    )
    assert _decode_body(other)["reason"] == "id-reused"


def test_context_sent_by_a_client_is_ignored(cluster):
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    forged = b"cranberrymux-context: 1;r-9;0;boss;900;0;0;99;1;\r\n"
    cluster.ask(leaf.ingress_port, GET + forged + b"\r\n")
    context = dict(leaf.backend.calls[0].head.headers)[b"cranberrymux-context"]
    assert b"boss" not in context
    assert b"r-9" not in context


def test_wrong_key_is_refused_and_nothing_runs(cluster):
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    client = cluster.ask(
        leaf.ingress_port, GET + b"cranberrymux-key: wrong\r\n\r\n"
    )
    assert client.statuses == [400]
    assert leaf.backend.calls == []


def test_call_for_another_endpoint_is_not_run(cluster):
    """The callee's address is taken over by an endpoint of another service."""
    caller = cluster.add("caller-0", "caller", calls=["dispatch"])
    dispatch = cluster.add("dispatch-0", "dispatch", backend.answer_ok)
    notes = cluster.add("notes-0", "notes", backend.answer_ok)
    cluster.network.run(0.5)
    factory = cluster.network.factories[notes.ingress_port]
    cluster.network.stop_listening(dispatch.ingress_port)
    cluster.network.listen(dispatch.ingress_port, factory)
    client = cluster.ask(
        caller.egress_port, GET + b"cranberrymux-service: dispatch\r\n\r\n"
    )
    assert _decode_body(client)["answer"] == "not-run"
    assert notes.backend.calls == []


def test_undecodable_context_of_another_node_is_refused(cluster):
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    client = cluster.ask(
        leaf.ingress_port,
        GET
        + b"cranberrymux-key: %b\r\n" % clusters.KEY.encode()
        + b"cranberrymux-service: leaf\r\ncranberrymux-endpoint: leaf-0\r\n"
        + b"cranberrymux-context: nonsense\r\n\r\n",
    )
    assert client.statuses == [400]
    assert leaf.backend.calls == []


def test_drain_routes_new_calls_elsewhere_and_completes_open_ones(cluster):
    first = cluster.add("leaf-0", "leaf")
    second = cluster.add("leaf-1", "leaf", backend.answer_ok)
    cluster.network.run(0.5)
    earlier_client = cluster.ask(first.ingress_port, GET + b"\r\n")
    first.node.drain()
    client = cluster.ask(first.ingress_port, GET + b"\r\n")
    assert client.statuses == [200]
    assert len(second.backend.calls) == 1
    cluster.network.run(2.0)
    backend.answer_ok(first.backend.calls[0])
    cluster.network.run(0.01)
    assert earlier_client.statuses == [200]


def test_stop_waits_for_the_calls_in_flight(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    leaf.node.stop()
    cluster.network.run(3.0)
    assert leaf.node.get_status()["state"] == "draining"
    backend.answer_ok(leaf.backend.calls[0])
    cluster.network.run(0.5)
    assert client.statuses == [200]
    assert leaf.node.get_status()["state"] == "gone"


def test_node_without_configuration_refuses_calls(cluster):
    cluster.control.is_unreachable = True
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert _decode_body(client)["reason"] == "not-started"
    assert leaf.backend.calls == []


def test_answers_and_refusals_are_counted_in_metrics(cluster):
    counted = []

    class CountingSink(null_sink.NullSink):
        def count(self, metric, value, *tags):
            counted.append((metric.value.name, value, *tags))

    leaf = cluster.add(
        "leaf-0", "leaf", backend.answer_ok, metrics=CountingSink()
    )
    cluster.ask(leaf.ingress_port, GET + b"\r\n")
    leaf.backend.crash()
    cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert ("node.calls", 1, "leaf", "default", "done") in counted
    refusal = ("node.refusals", 1, "leaf", "default", "not-started")
    assert refusal in counted


def test_second_answers_are_counted_and_logged(cluster):
    """Guards against second answers that nobody would notice."""
    counted = []

    class CountingSink(null_sink.NullSink):
        def count(self, metric, value, *tags):
            counted.append((metric.value.name, value, *tags))

    leaf = cluster.add("leaf-0", "leaf", metrics=CountingSink())
    receiver = raw_backend.RawBackend(cluster.network, leaf.backend.port)
    cluster.ask(leaf.ingress_port, GET + b"\r\n")
    second = (
        b"HTTP/1.1 200 OK\r\ncranberrymux-request-id: r-0\r\n"
        b"content-length: 0\r\n\r\n"
    )
    with testing.capture_logs() as lines:
        receiver.connections[0].send(second)
        cluster.network.run(0.01)
    assert ("node.unexpected-answers", 1, "other-id") in counted
    (line,) = lines
    assert line["event"] is event.Event.UNEXPECTED_ANSWER
    assert (line["reason"], line["answer_id"]) == ("other-id", "r-0")
    assert line["request_id"] == receiver.requests[0].request_id
