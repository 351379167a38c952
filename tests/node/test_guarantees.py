"""Guarantees of whole nodes that run in memory with fake peers.

They guard against calls that run twice, outside their place, under an outdated
configuration or after a crash of their backend server. These faults
come about when a node, a backend server or the control instance fails while a
call is open.
"""

import json

import pytest

from tests.fakes import backend
from tests.fakes import cluster as clusters

GET = b"GET /x HTTP/1.1\r\nhost: a\r\n"
POST = b"POST /crew HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
REQUEST_ID = (
    b"cranberrymux-request-id: 01a3185c-5000-7000-8000-000000000001\r\n"
)
CLASSES = "classes: [{name: normal}]\n"
ONCE_ONLY = """
classes: [{name: normal}]
selectors:
  - name: crews
    match: service = dispatch, method = POST
    once_only: true
"""


@pytest.fixture
def cluster():
    return clusters.Cluster()


def _json_body(client):
    return json.loads(client.received.rpartition(b"\r\n\r\n")[2])


def _kind_and_reason(client):
    body = _json_body(client)
    return body["answer"], body["reason"]


def _egress_head(service):
    return GET + b"cranberrymux-service: %b\r\n" % service


class TestAtMostOnce:
    @pytest.fixture
    def pair(self, cluster):
        first = cluster.add("dispatch-0", "dispatch")
        second = cluster.add("dispatch-1", "dispatch")
        cluster.configure(ONCE_ONLY)
        return first, second

    def _count_runs(self, pair):
        return sum(len(member.backend.calls) for member in pair)

    def test_same_id_at_two_nodes_runs_once(self, cluster, pair):
        request = POST + REQUEST_ID + b"\r\nabc"
        first = cluster.ask(pair[0].ingress_port, request)
        second = cluster.ask(pair[1].ingress_port, request)
        assert self._count_runs(pair) == 1
        assert _kind_and_reason(second) == ("unknown", "already-ran")
        assert _json_body(second)["retry_after_ms"] > 0
        backend.answer_ok(pair[0].backend.calls[0])
        cluster.network.run(0.01)
        assert first.statuses == [200]

    def test_resend_at_another_node_gets_the_stored_answer(self, cluster, pair):
        request = POST + REQUEST_ID + b"\r\nabc"
        cluster.ask(pair[0].ingress_port, request)
        backend.answer_ok(pair[0].backend.calls[0])
        cluster.network.run(0.05)
        again = cluster.ask(pair[1].ingress_port, request)
        assert again.statuses == [200]
        assert again.received.endswith(b"whole answer to /crew")
        assert self._count_runs(pair) == 1

    def test_answer_is_stored_for_a_resend_after_the_caller_disconnects(
        self, cluster, pair
    ):
        request = POST + REQUEST_ID + b"\r\nabc"
        first = cluster.ask(pair[0].ingress_port, request)
        first.transport.loseConnection()
        cluster.network.run(0.05)
        assert pair[0].backend.cancelled == []
        backend.answer_ok(pair[0].backend.calls[0])
        cluster.network.run(0.05)
        again = cluster.ask(pair[1].ingress_port, request)
        assert again.received.endswith(b"whole answer to /crew")
        assert self._count_runs(pair) == 1

    def test_stop_waits_until_the_answer_is_stored(self, cluster, pair):
        request = POST + REQUEST_ID + b"\r\nabc"
        cluster.ask(pair[0].ingress_port, request)
        cluster.control.is_unreachable = True
        backend.answer_ok(pair[0].backend.calls[0])
        pair[0].node.stop()
        cluster.network.run(3.0)
        assert pair[0].node.get_status()["state"] == "draining"
        cluster.control.is_unreachable = False
        cluster.network.run(1.0)
        assert pair[0].node.get_status()["state"] == "gone"
        again = cluster.ask(pair[1].ingress_port, request)
        assert again.received.endswith(b"whole answer to /crew")

    def test_call_whose_outcome_was_lost_is_not_run_again(self, cluster, pair):
        request = POST + REQUEST_ID + b"\r\nabc"
        first = cluster.ask(pair[0].ingress_port, request)
        pair[0].backend.crash()
        cluster.network.run(0.05)
        assert _kind_and_reason(first) == ("unknown", "connection-lost")
        second = cluster.ask(pair[1].ingress_port, request)
        assert _json_body(second)["answer"] == "unknown"
        assert self._count_runs(pair) == 1

    @pytest.mark.parametrize("status", [200, 302])
    def test_success_that_says_not_run_is_no_refusal(
        self, cluster, pair, status
    ):
        """Guards against a second run after an answer of two that joined."""

        def answer(call):
            call.answer(status, [(b"cranberrymux-answer", b"not-run")], b"ok")

        request = POST + REQUEST_ID + b"\r\nabc"
        first = cluster.ask(pair[0].ingress_port, request)
        answer(pair[0].backend.calls[0])
        cluster.network.run(0.05)
        assert b"cranberrymux-answer: done\r\n" in first.received
        cluster.ask(pair[1].ingress_port, request)
        assert self._count_runs(pair) == 1

    def test_other_body_under_the_same_id_is_refused(self, cluster, pair):
        cluster.ask(pair[0].ingress_port, POST + REQUEST_ID + b"\r\nabc")
        other = cluster.ask(
            pair[1].ingress_port, POST + REQUEST_ID + b"\r\nxyz"
        )
        assert _kind_and_reason(other) == ("not-run", "id-reused")

    def test_expired_request_id_is_unknown_and_not_run(self, cluster, pair):
        old = b"cranberrymux-request-id: 00000000-0000-7000-8000-000000000001"
        client = cluster.ask(pair[0].ingress_port, POST + old + b"\r\n\r\nabc")
        assert _kind_and_reason(client) == ("unknown", "id-expired")
        assert self._count_runs(pair) == 0

    def test_missing_quorum_is_answered_at_once_as_not_run(self, cluster, pair):
        cluster.control.is_unreachable = True
        client = cluster.ask(
            pair[0].ingress_port, POST + REQUEST_ID + b"\r\nabc"
        )
        assert _kind_and_reason(client) == ("not-run", "claim-unavailable")
        assert self._count_runs(pair) == 0

    def test_claim_of_a_call_that_was_not_handed_over_is_released(
        self, cluster, pair
    ):
        request = POST + REQUEST_ID + b"\r\nabc"
        pair[0].backend.crash()
        first = cluster.ask(pair[0].ingress_port, request)
        assert _kind_and_reason(first) == ("not-run", "not-started")
        second = cluster.ask(pair[1].ingress_port, request)
        assert self._count_runs(pair) == 1, second.received


class TestPlace:
    def test_request_is_routed_to_an_endpoint_that_matches_its_place(
        self, cluster
    ):
        here = cluster.add("leaf-0", "leaf", backend.answer_ok)
        there = cluster.add(
            "leaf-1", "leaf", backend.answer_ok, labels={"store": "a"}
        )
        cluster.configure(
            CLASSES
            + "selectors: [{name: s, match: service = leaf, place: store = a}]"
        )
        client = cluster.ask(here.ingress_port, GET + b"\r\n")
        assert client.statuses == [200]
        assert here.backend.calls == []
        assert len(there.backend.calls) == 1

    def test_request_without_a_matching_endpoint_is_not_run(self, cluster):
        here = cluster.add("leaf-0", "leaf", backend.answer_ok)
        cluster.configure(
            CLASSES
            + "selectors: [{name: s, match: service = leaf, place: store = a}]"
        )
        client = cluster.ask(here.ingress_port, GET + b"\r\n")
        assert _kind_and_reason(client) == ("not-run", "no-place")
        assert here.backend.calls == []


class TestConfiguration:
    def test_call_with_a_newer_version_waits_for_it(self, cluster):
        caller = cluster.add("caller-0", "caller", calls=["leaf"])
        leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
        cluster.network.run(0.5)
        cluster.control.version = 5
        cluster.control.document = CLASSES
        caller.node.directory.send_heartbeats()
        cluster.network.run(0.005)
        assert leaf.node.configuration_version == 0
        client = cluster.ask(
            caller.egress_port, _egress_head(b"leaf") + b"\r\n"
        )
        assert client.statuses == [200]
        assert leaf.node.configuration_version == 5

    def test_call_is_refused_if_the_newer_version_cannot_be_fetched(
        self, cluster
    ):
        leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
        cluster.control.is_unreachable = True
        client = cluster.ask(
            leaf.ingress_port,
            GET
            + b"cranberrymux-key: %b\r\n" % clusters.KEY.encode()
            + b"cranberrymux-service: leaf\r\ncranberrymux-endpoint: leaf-0\r\n"
            + b"cranberrymux-configuration: 9\r\n"
            + b"cranberrymux-context: 1;r-1;0;p;900;0;0;0;1;\r\n\r\n",
            seconds=0.6,
        )
        assert _kind_and_reason(client) == ("not-run", "configuration-stale")
        assert leaf.backend.calls == []

    def test_call_whose_caller_disconnects_during_the_wait_is_not_run(
        self, cluster
    ):
        leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
        cluster.control.is_unreachable = True
        client = cluster.ask(
            leaf.ingress_port,
            GET
            + b"cranberrymux-key: %b\r\n" % clusters.KEY.encode()
            + b"cranberrymux-service: leaf\r\n"
            + b"cranberrymux-endpoint: leaf-0\r\n"
            + b"cranberrymux-configuration: 9\r\n"
            + b"cranberrymux-context: 1;r-1;0;p;900;0;0;0;1;\r\n\r\n",
        )
        client.transport.loseConnection()
        cluster.network.run(0.01)
        cluster.control.is_unreachable = False
        cluster.control.version = 9
        cluster.control.document = CLASSES
        cluster.network.run(0.4)
        assert leaf.node.configuration_version == 9
        assert leaf.backend.calls == []

    def test_strict_call_is_refused_once_the_version_is_unconfirmed(
        self, cluster
    ):
        leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
        cluster.configure(
            CLASSES + "strict_age_ms: 2000\n"
            "selectors: [{name: s, match: method = GET, strict: true}]"
        )
        assert cluster.ask(leaf.ingress_port, GET + b"\r\n").statuses == [200]
        cluster.control.is_unreachable = True
        cluster.network.run(5)
        client = cluster.ask(leaf.ingress_port, GET + b"\r\n")
        assert _kind_and_reason(client) == ("not-run", "configuration-stale")

    def test_other_calls_run_while_the_version_is_unconfirmed(self, cluster):
        leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
        cluster.control.is_unreachable = True
        cluster.network.run(30)
        assert cluster.ask(leaf.ingress_port, GET + b"\r\n").statuses == [200]

    def test_version_never_decreases(self, cluster):
        leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
        cluster.control.version = 7
        cluster.control.document = CLASSES
        cluster.network.run(0.5)
        cluster.control.version = 3
        cluster.network.run(0.5)
        assert leaf.node.configuration_version == 7


class TestRetries:
    @pytest.fixture
    def caller(self, cluster):
        return cluster.add("caller-0", "caller", calls=["leaf"])

    def _ask_as_child(self, cluster, caller):
        cluster.ask(caller.ingress_port, GET + b"\r\n")
        parent = caller.backend.calls[-1]
        context = dict(parent.head.headers)[b"cranberrymux-context"]
        return cluster.ask(
            caller.egress_port,
            _egress_head(b"leaf")
            + b"cranberrymux-context: %b\r\n\r\n" % context,
        )

    def test_call_is_retried_elsewhere_if_the_backend_server_is_down(
        self, cluster, caller
    ):
        members = [
            cluster.add(f"leaf-{number}", "leaf", backend.answer_ok)
            for number in range(2)
        ]
        cluster.network.run(0.5)
        members[0].backend.crash()
        for _ in range(5):
            client = self._ask_as_child(cluster, caller)
            assert client.statuses == [200]
        assert len(members[1].backend.calls) == 5

    def test_call_without_parent_gets_no_retry(self, cluster, caller):
        leaf = cluster.add("leaf-0", "leaf", backend.answer_ok)
        cluster.add("leaf-1", "leaf", backend.answer_ok)
        cluster.network.run(0.5)
        for member in cluster.members.values():
            if member is not caller:
                member.backend.crash()
        client = cluster.ask(
            caller.egress_port, _egress_head(b"leaf") + b"\r\n"
        )
        assert _kind_and_reason(client) == ("not-run", "not-started")
        assert leaf.backend.calls == []

    def test_outcome_is_unknown_if_the_callees_node_is_lost(
        self, cluster, caller
    ):
        leaf = cluster.add("leaf-0", "leaf")
        cluster.network.run(0.5)
        client = cluster.ask(
            caller.egress_port, _egress_head(b"leaf") + b"\r\n"
        )
        cluster.network.stop_listening(leaf.ingress_port)
        cluster.network.run(0.3)
        assert _kind_and_reason(client) == ("unknown", "connection-lost")

    def test_call_cut_off_before_the_hand_over_is_not_run(
        self, cluster, caller
    ):
        leaf = cluster.add("leaf-0", "leaf", slots=1)
        cluster.network.run(0.5)
        cluster.ask(leaf.ingress_port, GET + b"\r\n")
        queued = cluster.ask(
            caller.egress_port, _egress_head(b"leaf") + b"\r\n", seconds=0.01
        )
        node_to_node = cluster.network.transports[-2]
        assert node_to_node.port == leaf.ingress_port
        node_to_node.abortConnection()
        cluster.network.run(0.1)
        assert _json_body(queued)["answer"] == "not-run"
        assert len(leaf.backend.calls) == 1


class TestQuarantine:
    def test_request_that_keeps_crashing_is_refused(self, cluster):
        leaf = cluster.add("leaf-0", "leaf")
        request = GET + REQUEST_ID + b"\r\n"
        deaths = 0
        for _ in range(6):
            leaf.backend.calls.clear()
            client = cluster.ask(leaf.ingress_port, request, seconds=0.2)
            if not leaf.backend.calls:
                break
            leaf.backend.crash()
            cluster.network.run(0.2)
            leaf.backend.start()
            cluster.announce(leaf)
            deaths += 1
        assert deaths <= 3
        assert _kind_and_reason(client) == ("unknown", "quarantined")
        other = cluster.ask(leaf.ingress_port, GET + b"\r\n")
        assert _kind_and_reason(other) == ("not-run", "quarantined")

    def test_other_call_in_flight_is_cleared_by_a_clean_run(self, cluster):
        leaf = cluster.add("leaf-0", "leaf")
        cluster.ask(leaf.ingress_port, GET + REQUEST_ID + b"\r\n")
        cluster.ask(leaf.ingress_port, b"GET /innocent HTTP/1.1\r\n\r\n")
        leaf.backend.crash()
        cluster.network.run(0.2)
        leaf.backend.start()
        cluster.announce(leaf)
        leaf.backend.answer = backend.answer_ok
        for _ in range(4):
            client = cluster.ask(
                leaf.ingress_port,
                b"GET /innocent HTTP/1.1\r\n\r\n",
                seconds=1.0,
            )
            assert client.statuses == [200]


class TestDependencyFailure:
    """A failed child call does not count against the endpoint that made it."""

    def test_endpoint_is_not_ejected_for_failed_child_calls(self, cluster):
        caller = cluster.add("caller-0", "caller", calls=["middle"])
        cluster.add("middle-0", "middle", backend.answer_ok, calls=["leaf"])
        failing = cluster.add("middle-1", "middle", calls=["leaf"])
        cluster.network.run(0.5)
        for _ in range(40):
            client = cluster.ask(
                caller.egress_port, _egress_head(b"middle") + b"\r\n", 0.003
            )
            self._fail_child_calls(cluster, failing)
            cluster.network.run(0.002)
            assert len(client.statuses) == 1
        assert len(failing.backend.calls) >= 10

    def _fail_child_calls(self, cluster, middle):
        for call in middle.backend.calls:
            if call.is_answered:
                continue
            context = dict(call.head.headers)[b"cranberrymux-context"]
            child = cluster.ask(
                middle.egress_port,
                _egress_head(b"leaf")
                + b"cranberrymux-context: %b\r\n\r\n" % context,
                0.002,
            )
            assert _kind_and_reason(child) == ("not-run", "no-endpoint")
            call.answer(502, [], b"no leaf")


def test_siblings_share_the_deaths_of_a_suspect(cluster):
    members = [cluster.add(f"leaf-{number}", "leaf") for number in range(3)]
    cluster.network.run(0.5)
    deaths = 0
    for number in range(12):
        member = members[number % 3]
        member.backend.calls.clear()
        cluster.ask(
            member.ingress_port, GET + REQUEST_ID + b"\r\n", seconds=0.05
        )
        if member.backend.calls:
            member.backend.crash()
            deaths += 1
            cluster.network.run(0.05)
            member.backend.start()
            cluster.announce(member)
    assert deaths <= 3


def test_endpoint_is_avoided_after_a_death_and_used_after_a_restart(cluster):
    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    leaf = cluster.add("leaf-0", "leaf")
    cluster.network.run(0.5)
    cluster.ask(caller.egress_port, _egress_head(b"leaf") + b"\r\n")
    leaf.backend.crash()
    cluster.network.run(0.3)
    assert leaf.node.get_status()["state"] == "gone"
    leaf.backend.start()
    leaf.backend.answer = backend.answer_ok
    cluster.announce(leaf)
    cluster.network.run(0.6)
    client = cluster.ask(caller.egress_port, _egress_head(b"leaf") + b"\r\n")
    assert client.statuses == [200]


def test_node_gets_no_calls_until_it_has_a_configuration(cluster):
    caller = cluster.add("caller-0", "caller", calls=["leaf"])
    cluster.control.withholds_confirmation = True
    cluster.add("leaf-0", "leaf", backend.answer_ok)
    cluster.network.run(0.5)
    request = _egress_head(b"leaf") + b"\r\n"
    client = cluster.ask(caller.egress_port, request)
    assert _kind_and_reason(client) == ("not-run", "no-endpoint")
    cluster.control.withholds_confirmation = False
    cluster.network.run(1.0)
    assert cluster.ask(caller.egress_port, request).statuses == [200]


def test_limit_cap_of_the_configuration_bounds_the_slots(cluster):
    leaf = cluster.add("leaf-0", "leaf", slots=8)
    assert leaf.node.get_status()["limit"] == 8
    cluster.configure(CLASSES + "services: [{name: leaf, limit_cap: 2}]")
    assert leaf.node.get_status()["limit"] == 2
    cluster.configure(CLASSES)
    assert leaf.node.get_status()["limit"] == 8


def test_sibling_that_starts_later_is_sent_the_suspects(cluster):
    leaf = cluster.add("leaf-0", "leaf")
    cluster.ask(leaf.ingress_port, GET + REQUEST_ID + b"\r\n")
    leaf.backend.crash()
    cluster.network.run(0.1)
    leaf.backend.start()
    cluster.announce(leaf)
    late = cluster.add("leaf-1", "leaf")
    cluster.network.run(0.5)
    assert late.node.get_status()["suspects"] == 2
