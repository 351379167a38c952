"""Bodies that are too long to be buffered, through one node and two.

Guards against requests whose head names a body that is never sent, so that
their receiver waits until the deadline, and against long answers that are
sent to a caller that has gone.
"""

import pytest

from tests.fakes import cluster as clusters

LONG_BYTES = 200_000
POST = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n" % LONG_BYTES


@pytest.fixture
def cluster():
    return clusters.Cluster()


def test_body_that_is_complete_before_the_connection_is_sent(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    cluster.network.connect_delays_s[leaf.backend.port] = 0.03
    cluster.ask(leaf.ingress_port, POST + b"\r\n" + b"x" * LONG_BYTES, 0.2)
    (received,) = leaf.backend.calls
    assert received.is_body_complete
    assert received.body_length == LONG_BYTES


def test_body_that_was_streamed_is_not_sent_again(cluster):
    def refuse(call):
        call.answer(
            503,
            [
                (b"cranberrymux-answer", b"not-run"),
                (b"cranberrymux-reason", b"overloaded"),
            ],
            b"",
        )

    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    leaves = [cluster.add(f"leaf-{i}", "leaf") for i in range(2)]
    cluster.network.run(0.5)
    cluster.ask(caller.ingress_port, b"GET /p HTTP/1.1\r\nhost: a\r\n\r\n")
    parent = caller.backend.calls[0]
    context = dict(parent.head.headers)[b"cranberrymux-context"]
    client = cluster.connect(caller.egress_port)
    client.send(
        POST
        + b"cranberrymux-service: leaf\r\n"
        + b"cranberrymux-context: %b\r\n\r\n" % context
        + b"x" * (LONG_BYTES // 2)
    )
    cluster.network.run(0.05)
    client.send(b"x" * (LONG_BYTES - LONG_BYTES // 2))
    cluster.network.run(0.05)
    (first,) = [call for leaf in leaves for call in leaf.backend.calls]
    assert first.body_length == LONG_BYTES
    refuse(first)
    cluster.network.run(0.2)
    assert client.statuses == [503]
    assert b"cranberrymux-answer: not-run" in client.received


def test_long_answer_goes_to_the_resend_once_the_first_caller_has_gone(
    cluster,
):
    leaf = cluster.add("leaf-0", "leaf")
    request = (
        b"GET /x HTTP/1.1\r\nhost: a\r\ncranberrymux-request-id: r-1\r\n\r\n"
    )
    first = cluster.ask(leaf.ingress_port, request)
    second = cluster.ask(leaf.ingress_port, request)
    first.transport.loseConnection()
    cluster.network.run(0.01)
    (call,) = leaf.backend.calls
    call.answer(200, [], b"x" * LONG_BYTES)
    cluster.network.run(0.1)
    assert second.statuses == [200]
    assert second.received.endswith(b"x" * LONG_BYTES)
