"""A call through one node and through two, with what goes wrong on the way."""

import json

import pytest

from cranberrymux.telemetry import null_sink
from tests.fakes import backend
from tests.fakes import cluster as clusters

GET = b"GET /x HTTP/1.1\r\nhost: a\r\n"


@pytest.fixture
def cluster():
    return clusters.Cluster()


def _body(client):
    return json.loads(client.received.rpartition(b"\r\n\r\n")[2])


def test_whole_answer_through_one_node(cluster):
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    client = cluster.ask(
        leaf.ingress_port, GET + b"cranberrymux-request-id: r-1\r\n\r\n"
    )
    assert client.statuses == [200]
    assert client.received.endswith(b"whole answer to /x")
    assert b"cranberrymux-answer: done\r\n" in client.received
    assert b"cranberrymux-request-id: r-1\r\n" in client.received


def test_whole_answer_through_two_nodes(cluster):
    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    cluster.add("leaf-0", "leaf", backend.answer_ok)
    cluster.network.run(0.5)
    client = cluster.ask(
        caller.egress_port, GET + b"cranberrymux-service: leaf\r\n\r\n"
    )
    assert client.received.endswith(b"whole answer to /x")


def test_client_that_hangs_up_cancels_the_backend_server(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert len(leaf.backend.calls) == 1
    client.transport.loseConnection()
    cluster.network.run(0.01)
    assert leaf.backend.cancelled == leaf.backend.calls


def test_cancelled_parent_ends_its_child_calls(cluster):
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


def test_lost_backend_server_is_unknown_and_answered_at_once(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    leaf.backend.die()
    cluster.network.run(0.01)
    assert client.statuses == [502]
    body = _body(client)
    assert (body["answer"], body["reason"]) == ("unknown", "connection-lost")
    assert body["retry_after_ms"] > 0


def test_no_connection_to_the_backend_server_is_not_run(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    leaf.backend.die()
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    body = _body(client)
    assert (body["answer"], body["reason"]) == ("not-run", "not-started")
    assert leaf.backend.calls == []


def test_deadline_ends_the_call_as_unknown_once_handed_over(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    client = cluster.ask(
        leaf.ingress_port,
        GET + b"cranberrymux-timeout-ms: 20\r\n\r\n",
        seconds=0.05,
    )
    assert client.statuses == [504]
    assert _body(client)["answer"] == "unknown"
    assert leaf.backend.cancelled == leaf.backend.calls


def test_truncated_answer_is_never_whole(cluster):
    def cut(call):
        call._connection._tcp.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf"
        )
        call._connection.abort()

    leaf = cluster.add("leaf-0", "leaf", cut)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert client.statuses == [502]
    assert _body(client)["reason"] == "truncated"
    assert b"half" not in client.received


def test_truncated_long_answer_closes_before_its_end(cluster):
    def cut(call):
        call._connection._tcp.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n" + b"x" * 9999
        )
        call._connection.abort()

    leaf = cluster.add("leaf-0", "leaf", cut)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert client.is_closed
    assert b"content-length: 1000000" in client.received
    assert len(client.received) < 1000000


def test_answer_without_length_is_refused_as_unknown(cluster):
    def old(call):
        call._connection._tcp.write(b"HTTP/1.0 200 OK\r\n\r\nold answer")
        call._connection.close()

    leaf = cluster.add("leaf-0", "leaf", old)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert _body(client)["reason"] == "truncated"


def test_backend_server_that_shed_says_not_run(cluster):
    def shed(call):
        call.answer(503, [(b"cranberrymux-answer", b"not-run")], b"")

    leaf = cluster.add("leaf-0", "leaf", shed)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert b"cranberrymux-answer: not-run" in client.received


def test_resend_joins_the_running_call_and_gets_its_answer(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    request = GET + b"cranberrymux-request-id: r-1\r\n\r\n"
    first = cluster.ask(leaf.ingress_port, request)
    second = cluster.ask(leaf.ingress_port, request)
    assert len(leaf.backend.calls) == 1
    backend.answer_ok(leaf.backend.calls[0])
    cluster.network.run(0.01)
    assert first.received == second.received != b""


def test_same_id_of_another_principal_gets_nothing(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    request = GET + b"cranberrymux-request-id: r-1\r\n"
    cluster.ask(leaf.ingress_port, request + b"\r\n")
    other = cluster.ask(
        leaf.ingress_port, request + b"cranberrymux-principal: eve\r\n\r\n"
    )
    assert _body(other)["reason"] == "id-reused"


def test_client_cannot_forge_a_context(cluster):
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    forged = b"cranberrymux-context: 1;r-9;0;boss;900;0;0;99;1;\r\n"
    cluster.ask(leaf.ingress_port, GET + forged + b"\r\n")
    context = dict(leaf.backend.calls[0].head.headers)[b"cranberrymux-context"]
    assert b"boss" not in context
    assert b"r-9" not in context


def test_wrong_key_is_refused_and_runs_nothing(cluster):
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    client = cluster.ask(
        leaf.ingress_port, GET + b"cranberrymux-key: wrong\r\n\r\n"
    )
    assert client.statuses == [400]
    assert leaf.backend.calls == []


def test_call_for_another_endpoint_is_not_run(cluster):
    """An address that passed to another service answers for itself only."""
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
    assert _body(client)["answer"] == "not-run"
    assert notes.backend.calls == []


def test_bad_context_of_a_peer_is_refused(cluster):
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


def test_drain_takes_calls_during_its_grace_then_sends_them_elsewhere(cluster):
    first = cluster.add("leaf-0", "leaf")
    second = cluster.add("leaf-1", "leaf", backend.answer_ok)
    cluster.network.run(0.5)
    open_client = cluster.ask(first.ingress_port, GET + b"\r\n")
    first.node.drain()
    client = cluster.ask(first.ingress_port, GET + b"\r\n")
    assert client.statuses == [200]
    assert len(second.backend.calls) == 1
    cluster.network.run(2.0)
    backend.answer_ok(first.backend.calls[0])
    cluster.network.run(0.01)
    assert open_client.statuses == [200]


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


def test_node_without_configuration_refuses(cluster):
    cluster.control.is_cut = True
    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
    client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert _body(client)["reason"] == "not-started"
    assert leaf.backend.calls == []


def test_answers_are_counted(cluster):
    counted = []

    class Sink(null_sink.NullSink):
        def count(self, metric, value, *tags):
            counted.append((metric.value.name, value, *tags))

    leaf = cluster.add("leaf-0", "leaf", backend.answer_ok, metrics=Sink())
    cluster.ask(leaf.ingress_port, GET + b"\r\n")
    leaf.backend.die()
    cluster.ask(leaf.ingress_port, GET + b"\r\n")
    assert ("node.calls", 1, "leaf", "default", "done") in counted
    refusal = ("node.refusals", 1, "leaf", "default", "not-started")
    assert refusal in counted
